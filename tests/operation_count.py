"""Counts the instructions of the interpreter: a measure of work that no machine changes."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any, TypeVar

Result = TypeVar("Result")


class OperationCount:
    """
    Counts the bytecode instructions that calls execute, those of the functions they call included.

    Loops within built-in functions count as one instruction, unless they run Python code.

    Usage::

        >>> operations = OperationCount()
        >>> operations.measure(sorted, values, key=by_size)
        >>> operations.last

    :ivar last: instructions of the last call.
    """

    def __init__(self) -> None:
        self.last = 0

    def measure(self, call: Callable[..., Result], *args: Any, **options: Any) -> Result:
        """Return the result of a call and count its instructions."""
        self.last = 0
        previous = sys.gettrace()
        sys.settrace(self._trace)
        try:
            return call(*args, **options)
        finally:
            sys.settrace(previous)

    def _trace(self, frame: FrameType, event: str, argument: object) -> Any:
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        self.last += event == "opcode"
        return self._trace
