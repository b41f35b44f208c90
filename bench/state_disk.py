"""
bench.state_disk
~~~~~~~~~~~~~~~~

What the state that must survive costs on disk: syncing a group of changes, rewriting the journal
and restarting from it.
"""

import random
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from bench.report import emit, percentile
from bulrushhollow_core.consensus import (
    Committed,
    Consensus,
    ConsensusRecord,
    EntriesRecord,
    EntryKind,
    LogEntry,
    LogId,
    Members,
    RestoredState,
    Restorer,
    Snapshot,
    SnapshotRecord,
    TermRecord,
)
from bulrushhollow_core.ids import InstanceName, LogIndex, Seconds, Term
from bulrushhollow_daemon.journal import Journal

BENCH = "state"
NAME = InstanceName("bench")
LOG_ID = LogId(1)
FIRST_TERM = Term(1)
PAYLOAD_BYTES = 300
"""Length of a change of configuration."""

GROUPS = (1, 8, 64, 256)
"""Changes in one group commit."""

BATCHES = 300
"""Group commits per measurement."""

STATE_BYTES = (65_536, 1_048_576, 8_388_608)
"""Lengths of a snapshot's state."""

CHANGES = (1_000, 10_000, 100_000)
"""Changes before a restart."""

TAIL = 1_000
"""Changes after the snapshot."""


def measure(seed: int, folder: Path | None) -> None:
    """Measure everything on the disk of a folder, or of the system's temporary folder."""
    rng = random.Random(seed)
    for group in GROUPS:
        _measure_group(seed, rng, folder, group)
    for length in STATE_BYTES:
        _measure_rewrite(seed, rng, folder, length)
    for changes in CHANGES:
        _measure_restart(seed, rng, folder, changes, with_snapshot=False)
        _measure_restart(seed, rng, folder, changes, with_snapshot=True)


@contextmanager
def _journal(folder: Path | None) -> Iterator[tuple[Path, Journal[ConsensusRecord]]]:
    with tempfile.TemporaryDirectory(dir=folder) as name:
        journal: Journal[ConsensusRecord] = Journal.open(Path(name), NAME, ConsensusRecord)
        try:
            yield Path(name), journal
        finally:
            journal.close()


def _entries(rng: random.Random, first: int, count: int) -> list[LogEntry]:
    return [
        LogEntry(LogIndex(index), FIRST_TERM, rng.randbytes(PAYLOAD_BYTES))
        for index in range(first, first + count)
    ]


def _measure_group(seed: int, rng: random.Random, folder: Path | None, group: int) -> None:
    durations = []
    with _journal(folder) as (_, journal):
        for batch in range(BATCHES):
            entries = _entries(rng, batch * group + 1, group)
            records = [EntriesRecord((entry,)) for entry in entries]
            began = time.perf_counter()
            journal.append(records)
            durations.append(time.perf_counter() - began)
    subject = f"append and sync of {group} changes"
    _emit_latency(seed, subject, durations)
    emit(BENCH, seed, subject, "changes per second", group / _mean(durations), "1/s")


def _measure_rewrite(seed: int, rng: random.Random, folder: Path | None, length: int) -> None:
    durations = []
    record = SnapshotRecord(_snapshot(rng, LogIndex(1), length))
    with _journal(folder) as (_, journal):
        for _ in range(10):
            began = time.perf_counter()
            journal.rewrite([TermRecord(LOG_ID, FIRST_TERM, None), record])
            durations.append(time.perf_counter() - began)
    _emit_latency(seed, f"rewrite with a state of {length} bytes", durations)


def _measure_restart(
    seed: int, rng: random.Random, folder: Path | None, changes: int, with_snapshot: bool
) -> None:
    with _journal(folder) as (path, journal):
        me = journal.instance
        members = Members(frozenset({me}))
        first = LogEntry(LogIndex(1), FIRST_TERM, members.encode(), EntryKind.MEMBERS)
        journal.append([TermRecord(LOG_ID, FIRST_TERM, me), EntriesRecord((first,))])
        if with_snapshot:
            state = _snapshot(rng, LogIndex(changes + 1), 1_048_576)
            snapshot = Snapshot(state.index, state.term, members, state.state)
            journal.rewrite([TermRecord(LOG_ID, FIRST_TERM, me), SnapshotRecord(snapshot)])
            _fill(journal, rng, changes + 2, TAIL)
        else:
            _fill(journal, rng, 2, changes)
        size = journal.size
        journal.close()
        began = time.perf_counter()
        restored = _replay(path)
        read_at = time.perf_counter()
        committed = _commit_all(restored, seed)
        done_at = time.perf_counter()
    kind = "with a snapshot" if with_snapshot else "without a snapshot"
    subject = f"restart after {changes} changes {kind}"
    emit(BENCH, seed, subject, "journal size", size, "B")
    emit(BENCH, seed, subject, "read the journal", read_at - began, "s")
    emit(BENCH, seed, subject, "read and hand over", done_at - began, "s")
    emit(BENCH, seed, subject, "entries handed over", committed, "1")


def _fill(journal: Journal[ConsensusRecord], rng: random.Random, first: int, count: int) -> None:
    for start in range(first, first + count, 64):
        entries = _entries(rng, start, min(64, first + count - start))
        journal.append([EntriesRecord((entry,)) for entry in entries])


def _replay(folder: Path) -> RestoredState:
    journal: Journal[ConsensusRecord] = Journal.open(folder, NAME, ConsensusRecord)
    restorer = Restorer()
    for record in journal.replay():
        restorer.apply(record)
    journal.close()
    restored = restorer.restored()
    assert restored is not None
    return restored


def _commit_all(restored: RestoredState, seed: int) -> int:
    assert restored.voted_for is not None
    now = Seconds(0.0)
    core = Consensus(restored.voted_for, True, restored, random.Random(seed), now)
    return sum(isinstance(action, Committed) for action in core.tick(now))


def _snapshot(rng: random.Random, index: LogIndex, length: int) -> Snapshot:
    return Snapshot(index, FIRST_TERM, Members(), rng.randbytes(length))


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _emit_latency(seed: int, subject: str, durations: list[float]) -> None:
    milliseconds = [1000 * duration for duration in durations]
    emit(BENCH, seed, subject, "p50", percentile(milliseconds, 0.5), "ms")
    emit(BENCH, seed, subject, "p99", percentile(milliseconds, 0.99), "ms")
    emit(BENCH, seed, subject, "max", max(milliseconds), "ms")
