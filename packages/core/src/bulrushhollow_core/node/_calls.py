"""
bulrushhollow_core.node._calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls of operators and callers: what each puts into the log, and its one true answer.
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
    CancelAsked,
    ChangeAsked,
    RecoverAsked,
    SubmitAsked,
    WaitAsked,
)
from bulrushhollow_core.node._jobs import JobWaits, describe_job, submission
from bulrushhollow_core.node._log import Applied, ReplicatedLog
from bulrushhollow_core.node._proposals import Pending
from bulrushhollow_core.node._purposes import ForChange, ForJob, ForRecord
from bulrushhollow_core.node._rollouts import Rollouts
from bulrushhollow_core.node._site import Site
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

CALL_WAIT = Seconds(5.0)
"""Seconds within which a caller learns whether the log took what it asked for."""

ORDER_INTERVAL = Seconds(2.0)
"""Seconds between two tries to have the log record a take-out given while it was out of reach."""

CHANGE_ID_LIMIT = 128
"""Longest id of a change, in characters."""

RETRY_AFTER = 1.0
"""Seconds after which a call that found no quorum may be worth repeating."""


PLAIN_REASONS = frozenset({Reason.INVALID, Reason.TOO_LARGE})
"""Refusals of a submission that no state can change."""


class _RefusedSubmission(msgspec.Struct, frozen=True):
    """A submission that is refused unless the log turns out to know better."""

    event: SubmitAsked
    refusal: Refusal
    asked_at: Seconds


class _OrderCalls:
    """Calls that wait for a majority of the data centre to take an order."""

    def __init__(self, deadline: Seconds) -> None:
        self.deadline = deadline
        self.calls: list[CallId] = []


Call = ChangeAsked | SubmitAsked | CancelAsked | WaitAsked | RecoverAsked


class Calls:
    """
    The calls that wait for their answer.

    :param loads_by_data_centre: what the holders said of their load; kept up to date outside.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        site: Site,
        rollouts: Rollouts,
        loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
        now: Seconds,
    ) -> None:
        self._log = log
        self._site = site
        self._rollouts = rollouts
        self._loads_by_data_centre = loads_by_data_centre
        self._waits = JobWaits()
        self._calls_by_order: dict[ChangeId, _OrderCalls] = {}
        self._refused: list[_RefusedSubmission] = []
        self._order_at = now

    @property
    def is_waiting(self) -> bool:
        """Whether any call waits for its answer."""
        is_any = bool(self._calls_by_order or self._refused)
        return is_any or self._rollouts.is_waiting or self._waits.is_waiting

    def ask(self, event: Call, now: Seconds) -> list[msgspec.Struct]:
        """Take in a call."""
        match event:
            case ChangeAsked():
                return self._change(event, now)
            case SubmitAsked():
                return self._submit(event, now)
            case CancelAsked():
                self._log.want(CancelJob(event.job), ForJob(event.call), CALL_WAIT, now)
                return []
            case WaitAsked():
                self._waits.wait(event.call, event.job, Seconds(now + event.within))
                return []
            case RecoverAsked():
                return self._recover(event, now)

    def stop(self) -> None:
        """Let no call wait for the end of a job any longer."""
        self._waits.stop()

    def applied(self, applied: Applied, now: Seconds) -> list[msgspec.Struct]:
        """Answer the call, if any, whose command was applied."""
        assert applied.pending is not None
        result = applied.result
        match applied.pending.purpose:
            case ForChange(call=call) if isinstance(result, ChangeAccepted):
                assert isinstance(applied.command, ChangeConfiguration)
                self._rollouts.wait(call, result.version, applied.command.edit, now)
            case ForJob(call=call) if isinstance(result, JobRecord):
                return [Reply(call, describe_job(result))]
            case ForChange(call=call) | ForJob(call=call):
                return [Reply(call, result)]
        return []

    def expired(self, pending: Pending) -> list[msgspec.Struct]:
        """Answer the call, if any, whose proposal was given up."""
        purpose = pending.purpose
        if not isinstance(purpose, ForChange | ForJob):
            return []
        if not pending.handed:
            detail = "no leader of the log could be reached"
            refusal = Refusal(Reason.NO_QUORUM, detail, Execution.NOT_RUN, RETRY_AFTER)
        else:
            detail = "the log did not confirm it in time; send it again under the same id"
            refusal = Refusal(Reason.NO_QUORUM, detail, Execution.UNKNOWN, RETRY_AFTER)
        return [Reply(purpose.call, refusal)]

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Answer what is due, and have the log record local orders once it can."""
        ledgers = self._log.ledgers
        configuration = ledgers.configuration.configuration
        actions: list[msgspec.Struct] = [*self._rollouts.answer(configuration, now)]
        actions += self._waits.answer(ledgers.jobs, now)
        actions += self._answer_orders(now)
        if self._refused:
            actions += self._answer_refused(now)
        if now >= self._order_at:
            self._order_at = Seconds(now + ORDER_INTERVAL)
            for change in self._site.switch.unrecorded_changes():
                self._log.want(change, ForRecord(), ORDER_INTERVAL, now)
        return actions

    def _change(self, event: ChangeAsked, now: Seconds) -> list[msgspec.Struct]:
        change = event.change
        if not 0 < len(change.change_id) <= CHANGE_ID_LIMIT:
            detail = f"a change id has 1 to {CHANGE_ID_LIMIT} characters"
            return [Reply(event.call, Refusal(Reason.INVALID, detail))]
        if self._log.status(now).caught_up_age > ISOLATION_LIMIT:
            ordered = self._site.switch.submit_order(change)
            if isinstance(ordered, LocalOrder):
                waiting = _OrderCalls(Seconds(now + CALL_WAIT))
                self._calls_by_order.setdefault(change.change_id, waiting).calls.append(event.call)
                return self._site.authority.renew(now)
        self._log.want(change, ForChange(event.call), CALL_WAIT, now)
        return []

    def _submit(self, event: SubmitAsked, now: Seconds) -> list[msgspec.Struct]:
        ledgers = self._log.ledgers
        configuration = ledgers.configuration.configuration
        command = submission(event.submit, configuration, self._loads_by_data_centre, ledgers.jobs)
        if not isinstance(command, Refusal):
            self._log.want(command, ForJob(event.call), CALL_WAIT, now)
            return []
        known = ledgers.jobs.jobs_by_id.get(event.submit.job_id)
        if known is not None and known.profile.name == event.submit.profile:
            return [Reply(event.call, describe_job(known))]
        if command.reason in PLAIN_REASONS:
            return [Reply(event.call, command)]
        self._refused.append(_RefusedSubmission(event, command, now))
        return []

    def _answer_refused(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Decide again on submissions that were refused by state that may have been old: an earlier
        copy of the same submission may have been accepted by another instance.
        """
        caught_up_at = now - self._log.status(now).caught_up_age
        due = [one for one in self._refused if one.asked_at <= caught_up_at]
        late = [one for one in self._refused if now - one.asked_at >= CALL_WAIT]
        self._refused = [one for one in self._refused if one not in due and one not in late]
        actions: list[msgspec.Struct] = []
        for one in due:
            actions += self._decide_refused(one, now)
        doubtful = (one for one in late if one not in due)
        return actions + [Reply(one.event.call, _in_doubt(one.refusal)) for one in doubtful]

    def _decide_refused(self, one: "_RefusedSubmission", now: Seconds) -> list[msgspec.Struct]:
        waiting = len(self._refused)
        actions = self._submit(one.event, now)
        if len(self._refused) == waiting:
            return actions
        return [Reply(one.event.call, self._refused.pop().refusal)]

    def _recover(self, event: RecoverAsked, now: Seconds) -> list[msgspec.Struct]:
        recovered = self._log.consensus.force_sole_voter(now)
        if not isinstance(recovered, ForcedRecovery):
            detail = f"not done: {recovered.reason.value}"
            return [Reply(event.call, Refusal(Reason.INVALID, detail))]
        answer = RecoveryAnswer(
            recovered.last_index,
            recovered.commit_index,
            tuple(sorted(recovered.former_voters)),
        )
        return [*recovered.actions, Reply(event.call, answer)]

    def _answer_orders(self, now: Seconds) -> list[msgspec.Struct]:
        """Answer take-outs given inside that a majority of the data centre has, or the log."""
        actions: list[msgspec.Struct] = []
        for change_id in list(self._calls_by_order):
            answer = self._order_answer(change_id, now)
            if answer is not None:
                waiting = self._calls_by_order.pop(change_id)
                actions += [Reply(call, answer) for call in waiting.calls]
        return actions

    def _order_answer(self, change_id: ChangeId, now: Seconds) -> ChangeAccepted | Refusal | None:
        configuration = self._log.ledgers.configuration
        recorded = configuration.answer_for(change_id)
        if recorded is not None:
            return recorded
        if not self._site.switch.is_accepted(change_id):
            return self._give_up_order(change_id, now)
        note = f"in force in {self._site.data_centre} only; recorded once the log is in reach"
        return ChangeAccepted(configuration.configuration.version, note=note)

    def _give_up_order(self, change_id: ChangeId, now: Seconds) -> Refusal | None:
        """Drop an order that no majority took in time; one on its way to a member may come back."""
        if now < self._calls_by_order[change_id].deadline:
            return None
        self._site.switch.withdraw_order(change_id)
        detail = "too few instances of the data centre could be reached; send it again"
        return Refusal(Reason.NO_QUORUM, detail, Execution.UNKNOWN, RETRY_AFTER)


def _in_doubt(refusal: Refusal) -> Refusal:
    """Return a refusal that does not say whether an earlier copy of the submission ran."""
    return Refusal(refusal.reason, refusal.detail, Execution.UNKNOWN, RETRY_AFTER)
