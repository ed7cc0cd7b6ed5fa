"""Thrift as bytes on a stream: no IDL, no I/O. Fronts and backs carry it."""
