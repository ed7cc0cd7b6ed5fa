"""Fixed seeds everywhere: the same verdict on every run."""

from hypothesis import settings

settings.register_profile("dunefield", derandomize=True, deadline=None, max_examples=150, database=None)
settings.load_profile("dunefield")
