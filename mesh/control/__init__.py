"""The controller: agreement on the configuration, grants of operation keys, membership."""
