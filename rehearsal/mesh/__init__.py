"""A small rehearsal of the mesh: real stiles and barns on loopback, a server beside each stile, a judge."""
