"""Tests of the workspace; ``python -m tests`` runs them all."""
