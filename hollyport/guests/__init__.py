"""What faces the application: who is let in, and one connection of it."""
