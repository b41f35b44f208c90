"""
bulrushhollow_core
~~~~~~~~~~~~~~~~~~

The decisions of the bulrushhollow scheduler. Nothing in this package opens a socket or a file,
reads a clock or draws from a global random generator: events and the present time go in, typed
actions come out, so that the daemon, the fuzzer and a trace replay all drive the same code.
"""
