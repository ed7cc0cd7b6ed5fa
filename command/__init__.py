"""The `hollyport` command: one word for what the project has."""
