"""
bulrushhollow_daemon
~~~~~~~~~~~~~~~~~~~~

The daemon of an entry instance. It adds sockets, files and timers to the decision logic of
``bulrushhollow_core``; each instance is one process.
"""
