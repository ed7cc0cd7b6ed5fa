"""The sidecar: requests from clients to servers, by the sidecar beside each server."""
