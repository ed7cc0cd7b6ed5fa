"""hollyport: the sidecar that carries the decisions of `dunefield` over real sockets."""
