"""
bulrushhollow_daemon.service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs one daemon from its start to its end.
"""

from bulrushhollow_daemon.settings import Settings


def serve(settings: Settings) -> int:
    """Run until told to stop; return the exit code."""
    return 0
