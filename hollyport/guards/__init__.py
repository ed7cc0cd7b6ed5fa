"""Guarded doors: who may connect, and how much of what is there they may take. Off unless switched on."""
