"""Runs the ``bulrushhollow`` command as ``python -m bulrushhollow``."""

from bulrushhollow.main import run

run()
