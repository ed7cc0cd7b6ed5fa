"""What lies on a controller's disk."""
