"""Two processes of one sidecar side by side, for the time of an upgrade: what each knows of the other."""
