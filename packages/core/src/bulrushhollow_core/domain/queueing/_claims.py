"""
bulrushhollow_core.domain.queueing._claims
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Claims of steps on the resources that evictions free for them. Until its claim ends, a step keeps
the position in the queue that justified the evictions, so that no step of a lower rank takes these
resources, for example because the claiming step has become late in the meantime.
"""

from typing import NamedTuple

from bulrushhollow_core.domain.model import StepRef
from bulrushhollow_core.domain.queueing._queueing import Priority
from bulrushhollow_core.ids import Seconds

CLAIM_MARGIN = Seconds(0.6)
"""Seconds beyond the longest stop for which a claim lasts: the worker lists the end, the log
records it, and a plan uses the resources."""


class Claim(NamedTuple):
    """
    A step that waits for the resources of evicted runs.

    :param priority: position of the step in the queue when the runs were evicted.
    :param made_at: when the runs were evicted.
    """

    priority: Priority
    made_at: Seconds


class ClaimRegister:
    """
    The claims of all steps.

    :param stop_timeout: maximum seconds that a stop takes.
    """

    def __init__(self, stop_timeout: Seconds) -> None:
        """Start without claims."""
        self._duration = Seconds(stop_timeout + CLAIM_MARGIN)
        self._claims_by_step: dict[StepRef, Claim] = {}

    def record(self, ref: StepRef, priority: Priority, now: Seconds) -> None:
        """Record that runs were evicted for a step at its position in the queue."""
        self._claims_by_step[ref] = Claim(priority, now)

    def priority_of(self, ref: StepRef, current: Priority) -> Priority:
        """Return the position at which a step is served: that of its claim if it is better."""
        claim = self._claims_by_step.get(ref)
        return current if claim is None else min(claim.priority, current)

    def is_held_by(self, ref: StepRef) -> bool:
        """Return whether a step has a claim."""
        return ref in self._claims_by_step

    def end(self, ref: StepRef) -> None:
        """End the claim of a step whose tasks have been placed."""
        self._claims_by_step.pop(ref, None)

    def expire(self, now: Seconds) -> set[StepRef]:
        """Remove the claims that have lasted too long, and return their steps."""
        expired = {
            ref
            for ref, claim in self._claims_by_step.items()
            if now - claim.made_at > self._duration
        }
        for ref in expired:
            del self._claims_by_step[ref]
        return expired
