"""Workers that have left, and keys that were withdrawn: the next leader does not use them again."""

import unittest

import msgspec

from bulrushhollow_core.domain._call_handler import CallHandler, DeferredAnswer
from bulrushhollow_core.domain._scheduler import Scheduler
from bulrushhollow_core.domain.model import (
    Availability,
    Command,
    Deregister,
    DomainSettings,
    Done,
    ForgetWorker,
    NotAllowed,
    PutConfiguration,
    StartRuns,
    Submit,
    WorkerLife,
    Workspace,
)
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import Seconds, Term, WorkerId, WorkspaceId
from standins.domain_site import HOST, KEY, configuration
from tests.test_domain_scheduler import SINGLE_TASK, WALL, SchedulerHarness, announcement

LIFE = WorkerLife(WorkerId("w"), 1)


class Departure(SchedulerHarness):
    """A scheduler whose only worker deregisters; the next leader starts from the snapshot."""

    def __init__(self) -> None:
        super().__init__()
        self.commit(self.plan())

    def deregister(self) -> None:
        handler = CallHandler(DomainSettings(), "10.0.0.1")
        answer = handler.handle(
            Deregister(LIFE.id, LIFE.born), self.state, self.scheduler, self.now, WALL
        )
        if isinstance(answer, DeferredAnswer):
            self.commit([answer.command])

    def change_leader(self) -> None:
        self.state = DomainState.decode(self.state.encode())
        self.scheduler = Scheduler(self.state, Term(4), DomainSettings(), self.now)

    def starts_after_late_announcement(self) -> list[Command]:
        late = announcement(1, sequence=9)
        assert late.availability is Availability.READY
        self.scheduler.worker_announced(late, self.now)
        self.submit(SINGLE_TASK)
        commands = self.plan()
        self.commit(commands)
        return [command for command in commands if isinstance(command, StartRuns)]


class DepartureTest(unittest.TestCase):
    def test_the_next_leader_does_not_use_a_worker_that_deregistered(self) -> None:
        site = Departure()
        site.deregister()
        site.change_leader()
        self.assertEqual([], site.starts_after_late_announcement())

    def test_a_forgotten_worker_does_not_return_by_a_late_announcement(self) -> None:
        site = Departure()
        site.deregister()
        site.commit([ForgetWorker(LIFE)])
        site.change_leader()
        self.assertEqual([], site.starts_after_late_announcement())
        self.assertNotIn(LIFE, site.state.announcements_by_life)

    def test_a_worker_that_was_only_silent_for_long_may_return(self) -> None:
        site = Departure()
        site.commit([ForgetWorker(LIFE)])
        site.change_leader()
        self.assertEqual(1, len(site.starts_after_late_announcement()))

    def test_a_later_life_under_the_same_id_is_used(self) -> None:
        site = Departure()
        site.deregister()
        site.change_leader()
        site.scheduler.worker_announced(announcement(2, address="w:2"), site.now)
        site.submit(SINGLE_TASK)
        (start,) = [each for each in site.plan() if isinstance(each, StartRuns)]
        self.assertEqual(2, start.starts[0].worker.born)


class WithdrawnKeyTest(unittest.TestCase):
    def submit(self, state: DomainState) -> object:
        handler = CallHandler(DomainSettings(), "10.0.0.1")
        scheduler = Scheduler(state, Term(4), DomainSettings(), Seconds(10.0))
        call = Submit(HOST, "/usual/" + "a" * 16, KEY, SINGLE_TASK)
        result = handler.handle(call, state, scheduler, Seconds(10.0), WALL)
        return result.answer

    def test_a_withdrawn_key_stays_withdrawn_after_a_restart_and_a_late_older_version(self) -> None:
        state = DomainState()
        state.apply(PutConfiguration(configuration(1)))
        self.assertIsInstance(self.submit(state), Done)
        withdrawn = msgspec.structs.replace(
            configuration(2), workspaces=(Workspace(WorkspaceId("team"), (), 16),)
        )
        state.apply(PutConfiguration(withdrawn))
        state = DomainState.decode(state.encode())
        self.assertIsInstance(self.submit(state), NotAllowed)
        state.apply(PutConfiguration(configuration(1)))
        self.assertIsInstance(self.submit(state), NotAllowed)


if __name__ == "__main__":
    unittest.main()
