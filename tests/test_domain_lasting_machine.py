"""Lasting tasks under episodes of faults: none runs twice, and none is away for too long."""

import os
import random
import unittest
from collections.abc import Iterator

from bulrushhollow_core.domain import Outcome, Resources, Step, TaskRef, Work
from bulrushhollow_core.ids import JobId, Seconds
from standins.domain_site import configuration
from standins.domain_workers import Worker
from tests.domain_world import World
from tests.test_domain_late_starts import restart

SEEDS = (1, 2, 3, 110, 155)
"""Seeds of every test run. 110 and 155 guard against second runs on workers that came back."""

EPISODES = 4
"""Episodes of faults in one run."""

CALM_BEFORE = 4.0
"""Seconds without a fault from which on the absence of a task counts; the platform's figure."""

MAX_STANDING = 3.0
"""Seconds for which a task may then be away; the platform's figure."""

RESTART_ALLOWANCE = 6.0
"""Seconds after its last run from which on the absence of a task counts; the platform's figure."""

SAMPLING_INTERVAL = 0.05


class LastingSite(World):
    """
    A domain whose workers run lasting tasks, with faults in episodes and calm in between.

    :ivar overlaps: seconds for which each task had two runs on workers that were up.
    :ivar absences: seconds for which each task was away in calm, beyond what is allowed.
    :ivar seconds_away: seconds for which any task was away, summed up.
    """

    def __init__(self, seed: int) -> None:
        self.choices = random.Random(seed * 7919)
        self.disturbed_until = 0.0
        self.overlaps: dict[TaskRef, float] = {}
        self.absences: dict[TaskRef, float] = {}
        self.seconds_away = 0.0
        self.last_run_by_task: dict[TaskRef, float] = {}
        super().__init__(seed, workers=12)
        self.run(4)
        assert self.put_configuration(configuration(1))
        self.run(2)
        self.call_later(SAMPLING_INTERVAL, self.sample)

    # What is measured.

    def lasting_tasks(self) -> Iterator[TaskRef]:
        for job in self.accepted:
            if self.has_ended(job):
                # It was given up, since its tasks have crashed several workers.
                continue
            for member in range(self.work_by_job[job].steps[0].count):
                yield TaskRef(job, 0, 0, member)  # type: ignore[arg-type]

    def sample(self) -> None:
        """Measure second runs and absences."""
        self.call_later(SAMPLING_INTERVAL, self.sample)
        running = [task for each in self.worker_pool.workers if each.is_up for task in each.runs]
        for task in {task for task in running if running.count(task) > 1}:
            self.overlaps[task] = self.overlaps.get(task, 0.0) + SAMPLING_INTERVAL
        for task in self.lasting_tasks():
            if task in running:
                self.last_run_by_task[task] = self.now
                continue
            self.seconds_away += SAMPLING_INTERVAL
            since = self.last_run_by_task.setdefault(task, self.now)
            counts_from = max(since + RESTART_ALLOWANCE, self.disturbed_until + CALM_BEFORE)
            excess = self.now - counts_from - MAX_STANDING
            if excess > 0:
                self.absences[task] = max(self.absences.get(task, 0.0), excess)

    # Faults.

    def disturb(self, until: float) -> None:
        self.disturbed_until = max(self.disturbed_until, until)

    def crash(self, worker: Worker, away: float) -> None:
        """Crash a worker, which comes back under its id."""
        if not worker.is_up:
            return
        worker.crash()
        self.disturb(self.now + away)
        self.call_later(away, lambda: worker.is_up or restart(worker))

    def lose_for_good(self, worker: Worker) -> None:
        """Crash a worker that never comes back; another one takes its place much later."""
        if not worker.is_up:
            return
        worker.crash()
        born = worker.life.born + 1
        self.disturb(self.now)
        self.call_later(40.0, lambda: worker.begin_life(born, f"{worker.name}-{born}"))

    def cut_off(self, worker: Worker, seconds: float) -> None:
        """Cut a worker off; it may crash behind the cut and return."""
        self.cut(worker.address, [instance.address for instance in self.instances])
        self.disturb(self.now + seconds)
        pairs = {pair for pair in self.cuts if worker.address in pair}
        self.call_later(seconds, lambda: self.cuts.difference_update(pairs))
        if self.choices.random() < 0.6:
            at = self.choices.uniform(0.1, seconds)
            away = self.choices.uniform(0.2, 2.0)
            self.call_later(at, lambda: self.crash(worker, away))

    def play_episode(self) -> None:
        """Let orders be late for a while, and workers be cut off, crash, and be lost for good."""
        choices, workers = self.choices, self.worker_pool.workers
        self.late_order_rate = choices.choice((0.1, 0.3, 0.6))
        late_for = choices.uniform(2.0, 5.5)
        self.disturb(self.now + late_for)
        self.call_later(late_for, lambda: setattr(self, "late_order_rate", 0.0))
        for worker in choices.sample(workers, choices.choice((1, 2, 3))):
            seconds = choices.uniform(1.0, 5.5)
            at = choices.uniform(0.0, late_for)
            self.call_later(at, lambda w=worker, s=seconds: self.cut_off(w, s))
        for worker in choices.sample(workers, choices.choice((0, 1, 2))):
            at, away = choices.uniform(0.0, late_for), choices.uniform(0.5, 5.0)
            self.call_later(at, lambda w=worker, s=away: self.crash(w, s))
        for worker in choices.sample(workers, choices.choice((0, 0, 1))):
            self.call_later(choices.uniform(0.0, late_for), lambda w=worker: self.lose_for_good(w))
        for _ in range(10):
            self.call_later(choices.uniform(0.0, late_for), self.fail_task)
        self.run(25.0)

    def fail_task(self) -> None:
        """Let one lasting task fail."""
        runs = [
            (each, run)
            for each in self.worker_pool.workers
            if each.is_up
            for run in each.runs.values()
        ]
        if runs:
            worker, run = self.choices.choice(runs)
            worker._end_run(run, Outcome.FAILED)

    def play(self) -> None:
        """Submit lasting jobs before and amid faults."""
        for number in range(EPISODES):
            self.submit_lasting(number, 2)
            self.run(3.0)
            self.call_later(self.choices.uniform(0.0, 2.0), lambda n=number: self.submit_later(n))
            self.play_episode()

    def submit_later(self, number: int) -> None:
        self.submit_lasting(100 + number, 2)

    def submit_lasting(self, number: int, count: int) -> None:
        needs = Resources(2000, 1000, 2)
        step = Step(count, needs, Seconds(1.0), is_long_running=True, max_per_worker=1)
        self.submit(f"{number:016x}", "usual", Work("spec", (step,)), 1e6)


def seeds() -> tuple[int, ...]:
    """Return the seeds to play: those of every run, or that of the environment."""
    seed = os.environ.get("FUZZ_SEED")
    return (int(seed),) if seed else SEEDS


class LastingMachineTest(unittest.TestCase):
    # Guards against two runs of a lasting task at once (TWICE) and against one that is away for
    # longer than allowed (LOST) after its start went unanswered.
    def test_lasting_tasks_run_once_and_are_back_in_time(self) -> None:
        for seed in seeds():
            with self.subTest(seed=seed):
                site = LastingSite(seed)
                site.play()
                self.assertEqual(({}, {}), (site.overlaps, site.absences))
                self.assertTrue(JobId(f"{0:016x}") in site.accepted)


if __name__ == "__main__":
    unittest.main()
