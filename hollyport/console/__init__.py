"""The second address: staff and platform ask how the sidecar fares, and send its clients away and back."""
