"""Measurements, each one command that prints a table and writes JSON. None of them is a test."""
