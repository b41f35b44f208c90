"""
bulrushhollow_daemon.in_flight
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The requests in flight, with their bodies and the bodies of their answers, which the core never
sees.
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

DEFAULT_CONTENT_TYPE = "application/octet-stream"
DIGEST_BYTES = 16


class InFlightRequest:
    """
    A request in flight.

    :param profile: the request's profile when the request arrived; None if it did not exist.
    """

    def __init__(self, call: CallerRequest, profile: Profile | None) -> None:
        self.call = call
        self.profile = profile
        self.result: Waiter[RequestAnswer | Refusal] = Waiter()
        self.attempts_in_flight = 0
        self.has_result = False
        self._answers_by_attempt: dict[Attempt, AttemptAnswer] = {}

    @property
    def is_complete(self) -> bool:
        """Return whether the caller has its final answer and no attempt is in flight."""
        return self.has_result and self.attempts_in_flight == 0

    def store_answer(self, attempt: Attempt, answer: AttemptAnswer) -> None:
        """Store the answer of an attempt."""
        self._answers_by_attempt[attempt] = answer

    def finish(self, result: EndpointAnswer | Refusal) -> None:
        """Give the caller its final answer."""
        self.has_result = True
        if isinstance(result, Refusal):
            self.result.set_result(result)
            return
        body, content_type = result.body or b"", DEFAULT_CONTENT_TYPE
        if result.attempt is not None:
            answer = self._answers_by_attempt[result.attempt]
            body, content_type = answer.body, answer.content_type or DEFAULT_CONTENT_TYPE
        self.result.set_result(
            RequestAnswer(self.call.request_id, result.status, body, content_type)
        )

    def with_answer_body(self, command: KeyCommand) -> KeyCommand:
        """
        Return a settlement with the body of the last complete answer, if that is short enough;
        return any other command unchanged.
        """
        if not isinstance(command, SettleKey) or command.outcome is not Execution.RAN:
            return command
        attempts = self._answers_by_attempt.values()
        whole_answers = [answer for answer in attempts if answer.result.end is AttemptEnd.WHOLE]
        if not whole_answers or len(whole_answers[-1].body) > MAX_STORED_BODY_BYTES:
            return command
        return SettleKey(
            key=command.key,
            workspace=command.workspace,
            owner=command.owner,
            request_id=command.request_id,
            outcome=command.outcome,
            status=command.status,
            body=whole_answers[-1].body,
        )


class InFlightRequests:
    """All requests in flight."""

    def __init__(self) -> None:
        self._requests_by_id: dict[RequestId, InFlightRequest] = {}

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def add(self, request: InFlightRequest) -> None:
        """Add a request."""
        self._requests_by_id[request.call.request_id] = request

    def get(self, request_id: RequestId) -> InFlightRequest | None:
        """Return a request in flight, or None if it is not in flight."""
        return self._requests_by_id.get(request_id)

    def remove_if_complete(self, request_id: RequestId) -> None:
        """Remove a request if it is complete."""
        request = self._requests_by_id.get(request_id)
        if request is not None and request.is_complete:
            del self._requests_by_id[request_id]

    def unfinished_ids(self) -> list[RequestId]:
        """Return the ids of the requests that have no final answer yet."""
        return [
            request_id
            for request_id, request in self._requests_by_id.items()
            if not request.has_result
        ]


def request_digest(call: CallerRequest) -> str:
    """Return a digest of profile and body, which tells a resend from another request."""
    hasher = hashlib.blake2b(call.profile_name.encode(), digest_size=DIGEST_BYTES)
    hasher.update(b"\0")
    hasher.update(call.body)
    return hasher.hexdigest()
