"""Stand-ins for channel nodes: what they do (`model`, pure) and how they speak (`host`, sockets)."""
