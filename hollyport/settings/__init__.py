"""What is read before anything runs: the platform's configuration and the operators' file."""
