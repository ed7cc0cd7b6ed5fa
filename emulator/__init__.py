"""Real decision modules on fake time, with models of what they balance."""
