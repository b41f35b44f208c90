"""
bulrushhollow_daemon.api._backend
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the API needs from the rest of the daemon.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from bulrushhollow_core.answers import (
    DataCentreStatus,
    EndpointStatus,
    InstanceStatus,
    JobAnswer,
)
from bulrushhollow_core.ids import IdempotencyKey, InstanceName, JobId, ProfileName, RequestId
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node import CallId, Event
from bulrushhollow_core.outcomes import Refusal


class RequestCall(msgspec.Struct, frozen=True):
    """
    A caller's request, whole.

    :param request: chosen by the entry instance; unique.
    :param patience: seconds the caller can wait, if it said so.
    :param forwarded_as: the id under which another data centre's entry instance sent it on.
    :param trace: W3C ``traceparent`` of the caller, if it sent one.
    """

    request: RequestId
    profile: ProfileName
    body: bytes
    key: IdempotencyKey | None = None
    patience: float | None = None
    forwarded_as: RequestId | None = None
    trace: str | None = None


class Delivery(msgspec.Struct, frozen=True):
    """An endpoint's whole answer to one request."""

    request: RequestId
    status: int
    body: bytes
    content_type: str = "application/octet-stream"


class Backend(Protocol):
    """The daemon behind the API."""

    async def call(self, event: Callable[[CallId], Event]) -> msgspec.Struct:
        """
        Feed an event to the core and wait for its reply.

        :return: the answer's struct, or a :class:`~bulrushhollow_core.outcomes.Refusal`.
        """

    async def request(self, call: RequestCall) -> Delivery | Refusal:
        """Carry one request to its end."""

    def configuration(self) -> Configuration:
        """Return the configuration in force on this instance."""

    def data_centres(self) -> tuple[DataCentreStatus, ...]:
        """Return the state of every data centre."""

    def endpoints(self) -> tuple[EndpointStatus, ...]:
        """Return the state of every endpoint."""

    def status(self) -> InstanceStatus:
        """Return the state of this instance."""

    def job(self, job: JobId) -> JobAnswer | Refusal:
        """Return the state of one job."""

    def jobs(self) -> tuple[JobAnswer, ...]:
        """Return the state of every job that is remembered."""

    def has_caught_up(self) -> bool:
        """Tell whether this instance has seen the newest configuration since its start."""

    def is_stopping(self) -> bool:
        """Tell whether a planned stop has begun."""

    def metrics(self) -> bytes:
        """Return the metrics in Prometheus' text format."""

    def cut(self, peers: frozenset[InstanceName]) -> None:
        """Drop all traffic with these peers; for development only."""
