"""An explorer: the mesh's real decision code under every order of a few messages and faults."""
