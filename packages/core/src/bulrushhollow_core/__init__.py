"""
bulrushhollow_core
~~~~~~~~~~~~~~~~~~

The decision logic of the bulrushhollow scheduler. Nothing in this package opens a socket or a file,
reads a clock or uses a global random generator: its input is events and the current time, its
output is typed actions. The daemon, the fuzzer and a trace replay therefore run the same code.
"""
