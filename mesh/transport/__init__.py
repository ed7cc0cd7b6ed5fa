"""Connections and messages between the mesh's own processes, and their HTTP listeners."""
