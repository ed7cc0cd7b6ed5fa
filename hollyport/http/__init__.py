"""HTTP/1.1, as one front and one back of the core."""
