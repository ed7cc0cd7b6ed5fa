"""State that controllers and sidecars share, and how copies of it merge. No I/O."""
