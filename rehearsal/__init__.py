"""Rehearsal kit: plays a season against the real daemon, with faults, and judges what came of it."""
