"""The core: requests and attempts between fronts and backs, and what it needs of both."""
