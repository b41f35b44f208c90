"""
bulrushhollow_core.node._calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls of operators and callers: the command that each adds to the log, and the answer to it.
"""

import msgspec

from bulrushhollow_core.answers import RecoveryAnswer
from bulrushhollow_core.authority import ISOLATION_LIMIT, LocalOrder
from bulrushhollow_core.changes import ChangeAccepted, ChangeConfiguration
from bulrushhollow_core.consensus import ForcedRecovery
from bulrushhollow_core.ids import ChangeId, DataCentreId, Seconds
from bulrushhollow_core.jobs import CancelJob, DataCentreLoad, JobRecord
from bulrushhollow_core.node._actions import Reply
from bulrushhollow_core.node._events import (
    CallId,
    CancelRequested,
    ChangeRequested,
    RecoveryRequested,
    SubmitRequested,
    WaitRequested,
)
from bulrushhollow_core.node._jobs import JobWaiters, build_submission, describe_job
from bulrushhollow_core.node._log import AppliedCommand, ReplicatedLog
from bulrushhollow_core.node._proposals import PendingProposal
from bulrushhollow_core.node._purposes import ForChange, ForJob, ForNoCaller
from bulrushhollow_core.node._rollouts import RolloutWaiters
from bulrushhollow_core.node._site import Site
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

CALL_TIMEOUT = Seconds(5.0)
"""Seconds after which a call is answered even if the log has not committed its command."""

ORDER_RETRY_INTERVAL = Seconds(2.0)
"""Seconds between two proposals of a local order that the log has not recorded yet."""

CHANGE_ID_LIMIT = 128
"""Longest id of a configuration change, in characters."""

RETRY_AFTER = 1.0
"""Seconds after which a caller may repeat a call that was refused for lack of a quorum."""

STATE_INDEPENDENT_REASONS = frozenset({Reason.INVALID, Reason.TOO_LARGE})
"""Reasons to refuse a submission that do not depend on the replicated state."""


class _RefusedSubmission(msgspec.Struct, frozen=True):
    """A submission that will be refused unless newer entries of the log change that."""

    event: SubmitRequested
    refusal: Refusal
    requested_at: Seconds


class _OrderCalls:
    """Calls that wait until a majority of the data centre has accepted a local order."""

    def __init__(self, deadline: Seconds) -> None:
        self.deadline = deadline
        self.calls: list[CallId] = []


Call = ChangeRequested | SubmitRequested | CancelRequested | WaitRequested | RecoveryRequested


class CallHandler:
    """
    Handles calls, and keeps those that wait for their answer.

    :param loads_by_data_centre: the last load report of each lease holder; the owner of this object
        updates it.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        site: Site,
        rollout_waiters: RolloutWaiters,
        loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
        now: Seconds,
    ) -> None:
        self._log = log
        self._site = site
        self._rollout_waiters = rollout_waiters
        self._loads_by_data_centre = loads_by_data_centre
        self._job_waiters = JobWaiters()
        self._calls_by_order: dict[ChangeId, _OrderCalls] = {}
        self._refused_submissions: list[_RefusedSubmission] = []
        self._next_order_retry_at = now

    @property
    def is_waiting(self) -> bool:
        """Whether any call waits for an answer."""
        has_waiting_calls = bool(self._calls_by_order or self._refused_submissions)
        return has_waiting_calls or self._rollout_waiters.is_waiting or self._job_waiters.is_waiting

    def handle(self, event: Call, now: Seconds) -> list[msgspec.Struct]:
        """Handle a call."""
        match event:
            case ChangeRequested():
                return self._handle_change(event, now)
            case SubmitRequested():
                return self._handle_submission(event, now)
            case CancelRequested():
                self._log.propose(CancelJob(event.job), ForJob(event.call), CALL_TIMEOUT, now)
                return []
            case WaitRequested():
                self._job_waiters.add(event.call, event.job, Seconds(now + event.within))
                return []
            case RecoveryRequested():
                return self._handle_recovery(event, now)

    def stop(self) -> None:
        """Answer the calls that wait for a job to end, because this instance stops."""
        self._job_waiters.stop()

    def command_applied(self, applied: AppliedCommand, now: Seconds) -> list[msgspec.Struct]:
        """Answer the call whose command was applied, if there is one."""
        assert applied.pending is not None
        result = applied.result
        match applied.pending.purpose:
            case ForChange(call=call) if isinstance(result, ChangeAccepted):
                assert isinstance(applied.command, ChangeConfiguration)
                self._rollout_waiters.add(call, result.version, applied.command.edit, now)
            case ForJob(call=call) if isinstance(result, JobRecord):
                return [Reply(call, describe_job(result))]
            case ForChange(call=call) | ForJob(call=call):
                return [Reply(call, result)]
        return []

    def proposal_expired(self, pending: PendingProposal) -> list[msgspec.Struct]:
        """Answer the call whose proposal has expired, if there is one."""
        purpose = pending.purpose
        if not isinstance(purpose, ForChange | ForJob):
            return []
        if not pending.was_sent:
            detail = "no leader of the log could be reached"
            refusal = Refusal(Reason.NO_QUORUM, detail, Execution.NOT_RUN, RETRY_AFTER)
        else:
            detail = "the log did not confirm the command in time; send it again with the same id"
            refusal = Refusal(Reason.NO_QUORUM, detail, Execution.UNKNOWN, RETRY_AFTER)
        return [Reply(purpose.call, refusal)]

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Return the answers that are due, and propose local orders that the log does not have."""
        ledgers = self._log.ledgers
        configuration = ledgers.configuration.configuration
        actions: list[msgspec.Struct] = [*self._rollout_waiters.pop_due_answers(configuration, now)]
        actions += self._job_waiters.pop_due_answers(ledgers.jobs, now)
        actions += self._answer_orders(now)
        if self._refused_submissions:
            actions += self._answer_refused_submissions(now)
        if now >= self._next_order_retry_at:
            self._next_order_retry_at = Seconds(now + ORDER_RETRY_INTERVAL)
            for change in self._site.switch.unrecorded_changes():
                self._log.propose(change, ForNoCaller(), ORDER_RETRY_INTERVAL, now)
        return actions

    def _handle_change(self, event: ChangeRequested, now: Seconds) -> list[msgspec.Struct]:
        change = event.change
        if not 0 < len(change.change_id) <= CHANGE_ID_LIMIT:
            detail = f"a change id has 1 to {CHANGE_ID_LIMIT} characters"
            return [Reply(event.call, Refusal(Reason.INVALID, detail))]
        if self._log.status(now).caught_up_age > ISOLATION_LIMIT:
            order = self._site.switch.submit_order(change)
            if isinstance(order, LocalOrder):
                order_calls = _OrderCalls(Seconds(now + CALL_TIMEOUT))
                self._calls_by_order.setdefault(change.change_id, order_calls).calls.append(
                    event.call
                )
                return self._site.authority.renew(now)
        self._log.propose(change, ForChange(event.call), CALL_TIMEOUT, now)
        return []

    def _handle_submission(self, event: SubmitRequested, now: Seconds) -> list[msgspec.Struct]:
        ledgers = self._log.ledgers
        configuration = ledgers.configuration.configuration
        command = build_submission(
            event.submit, configuration, self._loads_by_data_centre, ledgers.jobs
        )
        if not isinstance(command, Refusal):
            self._log.propose(command, ForJob(event.call), CALL_TIMEOUT, now)
            return []
        record = ledgers.jobs.jobs_by_id.get(event.submit.job_id)
        if record is not None and record.profile.name == event.submit.profile:
            return [Reply(event.call, describe_job(record))]
        if command.reason in STATE_INDEPENDENT_REASONS:
            return [Reply(event.call, command)]
        self._refused_submissions.append(_RefusedSubmission(event, command, now))
        return []

    def _answer_refused_submissions(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Decide again on submissions that were refused on the basis of state that may have been
        outdated: another instance may have accepted an earlier copy of the same submission.
        """
        caught_up_at = now - self._log.status(now).caught_up_age
        due = [
            refused for refused in self._refused_submissions if refused.requested_at <= caught_up_at
        ]
        expired = [
            refused
            for refused in self._refused_submissions
            if now - refused.requested_at >= CALL_TIMEOUT
        ]
        self._refused_submissions = [
            refused
            for refused in self._refused_submissions
            if refused not in due and refused not in expired
        ]
        actions: list[msgspec.Struct] = []
        for refused in due:
            actions += self._retry_refused_submission(refused, now)
        unconfirmed = (refused for refused in expired if refused not in due)
        return actions + [
            Reply(refused.event.call, _with_unknown_execution(refused.refusal))
            for refused in unconfirmed
        ]

    def _retry_refused_submission(
        self, refused: "_RefusedSubmission", now: Seconds
    ) -> list[msgspec.Struct]:
        refused_count = len(self._refused_submissions)
        actions = self._handle_submission(refused.event, now)
        if len(self._refused_submissions) == refused_count:
            return actions
        return [Reply(refused.event.call, self._refused_submissions.pop().refusal)]

    def _handle_recovery(self, event: RecoveryRequested, now: Seconds) -> list[msgspec.Struct]:
        recovered = self._log.consensus.force_sole_voter(now)
        if not isinstance(recovered, ForcedRecovery):
            detail = f"recovery refused: {recovered.reason.value}"
            return [Reply(event.call, Refusal(Reason.INVALID, detail))]
        answer = RecoveryAnswer(
            recovered.last_index,
            recovered.commit_index,
            tuple(sorted(recovered.former_voters)),
        )
        return [*recovered.actions, Reply(event.call, answer)]

    def _answer_orders(self, now: Seconds) -> list[msgspec.Struct]:
        """Answer the local orders that the log or a majority of the data centre has accepted."""
        actions: list[msgspec.Struct] = []
        for change_id in list(self._calls_by_order):
            answer = self._order_answer(change_id, now)
            if answer is not None:
                order_calls = self._calls_by_order.pop(change_id)
                actions += [Reply(call, answer) for call in order_calls.calls]
        return actions

    def _order_answer(self, change_id: ChangeId, now: Seconds) -> ChangeAccepted | Refusal | None:
        configuration = self._log.ledgers.configuration
        logged_answer = configuration.answer_for(change_id)
        if logged_answer is not None:
            return logged_answer
        if not self._site.switch.is_accepted(change_id):
            return self._expire_order(change_id, now)
        note = (
            f"in force in {self._site.data_centre} only; will be recorded when the log is in reach"
        )
        return ChangeAccepted(configuration.configuration.version, note=note)

    def _expire_order(self, change_id: ChangeId, now: Seconds) -> Refusal | None:
        """
        Withdraw an order that no majority accepted in time. A copy in transit to another member may
        restore it.
        """
        if now < self._calls_by_order[change_id].deadline:
            return None
        self._site.switch.withdraw_order(change_id)
        detail = "too few instances of the data centre could be reached; send the change again"
        return Refusal(Reason.NO_QUORUM, detail, Execution.UNKNOWN, RETRY_AFTER)


def _with_unknown_execution(refusal: Refusal) -> Refusal:
    """Return the refusal with unknown execution: an earlier copy of the job may have run."""
    return Refusal(refusal.reason, refusal.detail, Execution.UNKNOWN, RETRY_AFTER)
