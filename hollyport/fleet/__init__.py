"""Sidecars that know of each other: membership, small facts, and the datagrams that carry both."""
