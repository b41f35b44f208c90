"""A soak test: real daemons on loopback under injected faults, with their promises checked."""
