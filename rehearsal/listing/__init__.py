"""The stand-in for the node list: what it knows (`board`, pure) and how it is asked (`server`, sockets)."""
