"""
bulrushhollow_core.domain._inputs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Inputs that wait for a node, and how many of them one step takes.
"""

from collections import deque
from collections.abc import Iterator
from itertools import chain

from bulrushhollow_core.domain._node import (
    CallReceived,
    Input,
    MessageReceived,
    PeerConnected,
    PeerDisconnected,
    StopRequested,
)
from bulrushhollow_core.domain.model import PollAnswered, Submit

MAX_ROWS_PER_STEP = 1000
"""Rows of workers' lists, or other inputs, after which a step takes no more. This bounds what one
step does with lists that come together, such as those of a new term."""

TASKS_PER_ROW = 10
"""Tasks of a submission that count as one row."""

LOG_INPUTS = (MessageReceived, PeerConnected, PeerDisconnected, StopRequested)
"""Inputs of the replicated log. They keep the leader lease, so no others delay them."""


class InputQueue:
    """
    Inputs that wait for a node, in the order of their arrival.

    Usage::

        >>> queue.put(node_input)
        >>> actions = node.step(queue.take(), now, wall)
    """

    def __init__(self) -> None:
        """Start empty."""
        self._log_inputs: list[Input] = []
        self._others: deque[Input] = deque()

    def __bool__(self) -> bool:
        """Return whether any input waits."""
        return bool(self._log_inputs or self._others)

    def __iter__(self) -> Iterator[Input]:
        """Iterate over the waiting inputs, in the order in which steps take them."""
        return chain(self._log_inputs, self._others)

    def put(self, node_input: Input) -> None:
        """Add an input."""
        if isinstance(node_input, LOG_INPUTS):
            self._log_inputs.append(node_input)
        else:
            self._others.append(node_input)

    def take(self) -> list[Input]:
        """
        Remove and return the inputs of the next step: all of the log, and the oldest of the others
        up to the limit on rows. At least one of the others is returned if any waits.
        """
        batch, self._log_inputs = self._log_inputs, []
        rows = 0
        while self._others and rows < MAX_ROWS_PER_STEP:
            node_input = self._others.popleft()
            batch.append(node_input)
            rows += _rows_of(node_input)
        return batch


def _rows_of(node_input: Input) -> int:
    """Return the rows that an input counts as."""
    match node_input:
        case PollAnswered(running=running, ended=ended):
            return 1 + len(running) + len(ended)
        case CallReceived(call=Submit(work=work)):
            return 1 + sum(step.count for step in work.steps) // TASKS_PER_ROW
        case _:
            return 1
