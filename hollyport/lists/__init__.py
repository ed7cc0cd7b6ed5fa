"""Which nodes there are, and which pool each belongs to."""
