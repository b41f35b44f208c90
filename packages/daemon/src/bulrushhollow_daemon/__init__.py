"""
bulrushhollow_daemon
~~~~~~~~~~~~~~~~~~~~

Sockets, files and timers round the decisions of ``bulrushhollow_core``: one process for each
entry instance.
"""
