"""The mesh: sidecars beside servers carry the traffic, controllers on core machines hold what all must agree
on."""
