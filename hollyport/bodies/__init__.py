"""Large bodies on their way, and the bound for all of them."""
