"""The mesh: stiles beside servers carry the traffic, barns on core machines hold what all must agree on."""
