"""
bulrushhollow._cli
~~~~~~~~~~~~~~~~~~

The subcommands of the ``bulrushhollow`` command.
"""
