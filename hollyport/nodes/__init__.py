"""What faces the nodes: connections to them, and attempts on these."""
