"""From start to end: what state the sidecar is in, and what that means for its clients."""
