"""A service mesh: sidecars beside the servers carry requests, and controllers hold the replicated state."""
