"""A small rehearsal of the mesh: real sidecars and controllers on loopback, a server beside each sidecar, a
judge."""
