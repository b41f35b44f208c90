"""
bulrushhollow
~~~~~~~~~~~~~

Client library for callers and operators of the bulrushhollow scheduler.
"""
