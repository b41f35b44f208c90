"""The tests of all packages; ``python -m tests`` runs them."""
