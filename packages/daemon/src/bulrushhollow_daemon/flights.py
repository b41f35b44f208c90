"""
bulrushhollow_daemon.flights
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bodies of requests under way and of their answers, which the core never sees, by request.
"""

import hashlib

from bulrushhollow_core.ids import Attempt, RequestId
from bulrushhollow_core.models import Profile
from bulrushhollow_core.outcomes import Execution, Refusal
from bulrushhollow_core.requests import (
    MAX_STORED_BODY_BYTES,
    AttemptEnd,
    EndpointAnswer,
    KeyCommand,
    SettleKey,
)
from bulrushhollow_daemon.api import CallerRequest, RequestAnswer
from bulrushhollow_daemon.dispatch import AttemptAnswer
from bulrushhollow_daemon.waiters import Waiter

DEFAULT_TYPE = "application/octet-stream"
DIGEST_BYTES = 16


class Flight:
    """
    One request under way.

    :param profile: as it was when the request arrived; None if there was none.
    """

    def __init__(self, call: CallerRequest, profile: Profile | None) -> None:
        self.call = call
        self.profile = profile
        self.result: Waiter[RequestAnswer | Refusal] = Waiter()
        self.in_flight = 0
        self.finished = False
        self._answers_by_attempt: dict[Attempt, AttemptAnswer] = {}

    @property
    def is_over(self) -> bool:
        """Whether nothing can come any more."""
        return self.finished and self.in_flight == 0

    def keep(self, attempt: Attempt, answer: AttemptAnswer) -> None:
        """Keep what an attempt brought."""
        self._answers_by_attempt[attempt] = answer

    def finish(self, result: EndpointAnswer | Refusal) -> None:
        """Give the caller the final answer."""
        self.finished = True
        if isinstance(result, Refusal):
            self.result.give(result)
            return
        body, content_type = result.body or b"", DEFAULT_TYPE
        if result.attempt is not None:
            answer = self._answers_by_attempt[result.attempt]
            body, content_type = answer.body, answer.content_type or DEFAULT_TYPE
        self.result.give(RequestAnswer(self.call.request_id, result.status, body, content_type))

    def with_body(self, command: KeyCommand) -> KeyCommand:
        """Fill the body of the last whole answer into a settlement, if it is short enough."""
        if not isinstance(command, SettleKey) or command.outcome is not Execution.RAN:
            return command
        attempts = self._answers_by_attempt.values()
        whole = [answer for answer in attempts if answer.result.end is AttemptEnd.WHOLE]
        if not whole or len(whole[-1].body) > MAX_STORED_BODY_BYTES:
            return command
        return SettleKey(
            key=command.key,
            workspace=command.workspace,
            owner=command.owner,
            request_id=command.request_id,
            outcome=command.outcome,
            status=command.status,
            body=whole[-1].body,
        )


class Flights:
    """All requests under way."""

    def __init__(self) -> None:
        self._flights_by_id: dict[RequestId, Flight] = {}

    def __len__(self) -> int:
        return len(self._flights_by_id)

    def open(self, flight: Flight) -> None:
        """Add a request."""
        self._flights_by_id[flight.call.request_id] = flight

    def get(self, request: RequestId) -> Flight | None:
        """Return a request that is under way."""
        return self._flights_by_id.get(request)

    def drop_if_over(self, request: RequestId) -> None:
        """Forget a request once nothing can come any more."""
        flight = self._flights_by_id.get(request)
        if flight is not None and flight.is_over:
            del self._flights_by_id[request]

    def names(self) -> list[RequestId]:
        """Return the requests that have no final answer yet."""
        return [name for name, one in self._flights_by_id.items() if not one.finished]


def digest(call: CallerRequest) -> str:
    """Return a digest of profile and body, by which a resend is told from another request."""
    hashed = hashlib.blake2b(call.profile_name.encode(), digest_size=DIGEST_BYTES)
    hashed.update(b"\0")
    hashed.update(call.body)
    return hashed.hexdigest()
