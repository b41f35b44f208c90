"""
bench.state_disk
~~~~~~~~~~~~~~~~

Measures the journal on disk: appending and syncing groups of changes, rewriting the journal with a
snapshot, and restarting from it.
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
INSTANCE_NAME = InstanceName("bench")
LOG_ID = LogId(1)
FIRST_TERM = Term(1)
PAYLOAD_BYTES = 300
"""Bytes of a log entry, as of a change of configuration."""

GROUP_SIZES = (1, 8, 64, 256)
"""Numbers of changes in one group commit."""

GROUP_COMMITS = 300
"""Group commits per measurement."""

SNAPSHOT_SIZES = (65_536, 1_048_576, 8_388_608)
"""Bytes of a snapshot's state."""

CHANGE_COUNTS = (1_000, 10_000, 100_000)
"""Numbers of changes before a restart."""

CHANGES_AFTER_SNAPSHOT = 1_000
"""Changes in the journal after its snapshot."""


def measure(seed: int, folder: Path | None) -> None:
    """Run all measurements on the disk of a folder, or of the system's temporary folder."""
    rng = random.Random(seed)
    for group_size in GROUP_SIZES:
        _measure_group(seed, rng, folder, group_size)
    for state_bytes in SNAPSHOT_SIZES:
        _measure_rewrite(seed, rng, folder, state_bytes)
    for change_count in CHANGE_COUNTS:
        _measure_restart(seed, rng, folder, change_count, with_snapshot=False)
        _measure_restart(seed, rng, folder, change_count, with_snapshot=True)


@contextmanager
def _temporary_journal(folder: Path | None) -> Iterator[tuple[Path, Journal[ConsensusRecord]]]:
    with tempfile.TemporaryDirectory(dir=folder) as name:
        journal: Journal[ConsensusRecord] = Journal.open(Path(name), INSTANCE_NAME, ConsensusRecord)
        try:
            yield Path(name), journal
        finally:
            journal.close()


def _random_entries(rng: random.Random, first: int, count: int) -> list[LogEntry]:
    return [
        LogEntry(LogIndex(index), FIRST_TERM, rng.randbytes(PAYLOAD_BYTES))
        for index in range(first, first + count)
    ]


def _measure_group(seed: int, rng: random.Random, folder: Path | None, group_size: int) -> None:
    durations = []
    with _temporary_journal(folder) as (_, journal):
        for commit in range(GROUP_COMMITS):
            entries = _random_entries(rng, commit * group_size + 1, group_size)
            records = [EntriesRecord((entry,)) for entry in entries]
            started_at = time.perf_counter()
            journal.append(records)
            durations.append(time.perf_counter() - started_at)
    subject = f"append and sync of {group_size} changes"
    _emit_latency(seed, subject, durations)
    emit(BENCH, seed, subject, "changes per second", group_size / _mean(durations), "1/s")


def _measure_rewrite(seed: int, rng: random.Random, folder: Path | None, state_bytes: int) -> None:
    durations = []
    record = SnapshotRecord(_random_snapshot(rng, LogIndex(1), state_bytes))
    with _temporary_journal(folder) as (_, journal):
        for _ in range(10):
            started_at = time.perf_counter()
            journal.rewrite([TermRecord(LOG_ID, FIRST_TERM, None), record])
            durations.append(time.perf_counter() - started_at)
    _emit_latency(seed, f"rewrite with a state of {state_bytes} bytes", durations)


def _measure_restart(
    seed: int, rng: random.Random, folder: Path | None, change_count: int, with_snapshot: bool
) -> None:
    with _temporary_journal(folder) as (path, journal):
        me = journal.instance
        members = Members(frozenset({me}))
        first = LogEntry(LogIndex(1), FIRST_TERM, members.encode(), EntryKind.MEMBERS)
        journal.append([TermRecord(LOG_ID, FIRST_TERM, me), EntriesRecord((first,))])
        if with_snapshot:
            state = _random_snapshot(rng, LogIndex(change_count + 1), 1_048_576)
            snapshot = Snapshot(state.index, state.term, members, state.state)
            journal.rewrite([TermRecord(LOG_ID, FIRST_TERM, me), SnapshotRecord(snapshot)])
            _append_entries(journal, rng, change_count + 2, CHANGES_AFTER_SNAPSHOT)
        else:
            _append_entries(journal, rng, 2, change_count)
        journal_bytes = journal.size
        journal.close()
        started_at = time.perf_counter()
        restored = _replay(path)
        read_at = time.perf_counter()
        committed_count = _commit_all(restored, seed)
        committed_at = time.perf_counter()
    kind = "with a snapshot" if with_snapshot else "without a snapshot"
    subject = f"restart after {change_count} changes {kind}"
    emit(BENCH, seed, subject, "journal size", journal_bytes, "B")
    emit(BENCH, seed, subject, "read the journal", read_at - started_at, "s")
    emit(BENCH, seed, subject, "read and hand over", committed_at - started_at, "s")
    emit(BENCH, seed, subject, "entries handed over", committed_count, "1")


def _append_entries(
    journal: Journal[ConsensusRecord], rng: random.Random, first: int, count: int
) -> None:
    for start in range(first, first + count, 64):
        entries = _random_entries(rng, start, min(64, first + count - start))
        journal.append([EntriesRecord((entry,)) for entry in entries])


def _replay(folder: Path) -> RestoredState:
    journal: Journal[ConsensusRecord] = Journal.open(folder, INSTANCE_NAME, ConsensusRecord)
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


def _random_snapshot(rng: random.Random, index: LogIndex, state_bytes: int) -> Snapshot:
    return Snapshot(index, FIRST_TERM, Members(), rng.randbytes(state_bytes))


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)


def _emit_latency(seed: int, subject: str, durations: list[float]) -> None:
    milliseconds = [1000 * duration for duration in durations]
    emit(BENCH, seed, subject, "p50", percentile(milliseconds, 0.5), "ms")
    emit(BENCH, seed, subject, "p99", percentile(milliseconds, 0.99), "ms")
    emit(BENCH, seed, subject, "max", max(milliseconds), "ms")
