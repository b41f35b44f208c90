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
from bulrushhollow_core.node._jobs import JobWaits, describe_job, job_answer, submission
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
        self._calls_by_order: dict[ChangeId, list[CallId]] = {}
        self._order_at = now

    @property
    def is_waiting(self) -> bool:
        """Whether any call waits for its answer."""
        return self._rollouts.is_waiting or self._waits.is_waiting or bool(self._calls_by_order)

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
        if now >= self._order_at:
            self._order_at = Seconds(now + ORDER_INTERVAL)
            for change in self._site.switch.unrecorded():
                self._log.want(change, ForRecord(), ORDER_INTERVAL, now)
        return actions

    def _change(self, event: ChangeAsked, now: Seconds) -> list[msgspec.Struct]:
        change = event.change
        if not 0 < len(change.change_id) <= CHANGE_ID_LIMIT:
            detail = f"a change id has 1 to {CHANGE_ID_LIMIT} characters"
            return [Reply(event.call, Refusal(Reason.INVALID, detail))]
        if self._log.status(now).caught_up_age > ISOLATION_LIMIT:
            ordered = self._site.switch.order(change)
            if isinstance(ordered, LocalOrder):
                self._calls_by_order.setdefault(change.change_id, []).append(event.call)
                return self._site.authority.renew(now)
        self._log.want(change, ForChange(event.call), CALL_WAIT, now)
        return []

    def _submit(self, event: SubmitAsked, now: Seconds) -> list[msgspec.Struct]:
        ledgers = self._log.ledgers
        configuration = ledgers.configuration.configuration
        command = submission(event.submit, configuration, self._loads_by_data_centre)
        known = ledgers.jobs.jobs_by_id.get(event.submit.job_id)
        if isinstance(command, Refusal):
            resent = known is not None and known.profile.name == event.submit.profile
            answer = job_answer(event.submit.job_id, ledgers.jobs) if resent else command
            return [Reply(event.call, answer)]
        self._log.want(command, ForJob(event.call), CALL_WAIT, now)
        return []

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
                calls = self._calls_by_order.pop(change_id)
                actions += [Reply(call, answer) for call in calls]
        return actions

    def _order_answer(self, change_id: ChangeId, now: Seconds) -> ChangeAccepted | Refusal | None:
        configuration = self._log.ledgers.configuration
        recorded = configuration.answer_for(change_id)
        if recorded is not None:
            return recorded
        if not self._site.switch.accepted(change_id):
            return None
        note = f"in force in {self._site.data_centre} only; recorded once the log is in reach"
        return ChangeAccepted(configuration.configuration.version, note=note)
