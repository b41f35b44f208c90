"""Benchmarks and experiments; ``python -m bench NAME`` runs one."""
