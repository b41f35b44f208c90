"""
bulrushhollow_core.requests._keys
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Replicated ledger of idempotency keys, with which every instance detects requests that were sent
before, also after restarts. The number of keys is bounded; the oldest settled key of the workspace
with the most keys is evicted first.
"""

from collections.abc import Iterator

import msgspec

from bulrushhollow_core.ids import IdempotencyKey, InstanceId, LogIndex, RequestId, WorkspaceId
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests._key_commands import (
    MAX_STORED_BODY_BYTES,
    KeyCommand,
    MarkOwnerLost,
    ReserveKey,
    SettleKey,
)

MAX_KEYS = 20_000
"""Maximum number of keys in the ledger."""

MAX_TOTAL_BODY_BYTES = 4 * 1024 * 1024
"""Maximum total bytes of kept answers; the oldest bodies are dropped first."""

KEY_RETRY_AFTER = 1.0
"""Seconds to retry after when the first request with the key is still in progress."""


class KeyRecord(msgspec.Struct, frozen=True):
    """
    State of one key.

    :param index: log index of the command that last changed the record; it orders records by age.
    :param outcome: None while the request is in progress; ``NOT_RUN`` if it was not run, after
        which another request may reserve the key.
    :param body: the answer's body, if it was short enough and is still kept.
    """

    key: IdempotencyKey
    workspace: WorkspaceId
    digest: str
    owner: InstanceId
    request_id: RequestId
    index: LogIndex
    outcome: Execution | None = None
    status: int = 0
    body: bytes | None = None


class KeysSnapshot(msgspec.Struct, frozen=True):
    """Every record, oldest first."""

    records: tuple[KeyRecord, ...] = ()


class OwnerMarkedLost(msgspec.Struct, frozen=True):
    """
    Result of a :class:`MarkOwnerLost` command.

    :param keys: number of keys whose outcome was set to unknown.
    """

    keys: int


RecordsByKey = dict[IdempotencyKey, KeyRecord]


class KeyLedger:
    """
    Deterministic state machine that applies key commands in log order.

    Usage::

        ledger = KeyLedger()
        reserved = ledger.apply(index, ReserveKey(key, workspace, digest, owner, request_id))
        if isinstance(reserved, Refusal):
            ...  # in progress, unknown, or used with another body
        elif reserved.outcome is not None:
            ...  # the outcome of the first request

    :param max_keys: maximum number of keys; must be equal on all instances.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._by_workspace: dict[WorkspaceId, RecordsByKey] = {}
        self._body_sizes: dict[tuple[WorkspaceId, IdempotencyKey], int] = {}
        self._count = 0
        self._body_bytes = 0

    def __len__(self) -> int:
        return self._count

    def find(self, workspace: WorkspaceId, key: IdempotencyKey) -> KeyRecord | None:
        """Return the record of a key, as of the last applied command."""
        return self._by_workspace.get(workspace, {}).get(key)

    def owners_in_progress(self) -> frozenset[InstanceId]:
        """Return the owners of keys whose requests are in progress."""
        return frozenset(record.owner for record in self._records() if record.outcome is None)

    def apply(self, index: LogIndex, command: KeyCommand) -> KeyRecord | OwnerMarkedLost | Refusal:
        """
        Apply one committed command.

        :return: the changed record. For a reservation: a record with an outcome holds that of the
            first request; a refusal says why the request must not be sent.
        """
        match command:
            case ReserveKey():
                return self._reserve(index, command)
            case SettleKey():
                return self._settle(index, command)
            case MarkOwnerLost():
                return self._mark_owner_lost(index, command)

    def snapshot(self) -> KeysSnapshot:
        """Return a snapshot of all records, oldest first."""
        return KeysSnapshot(tuple(sorted(self._records(), key=_age_key)))

    @classmethod
    def restore(cls, snapshot: KeysSnapshot, max_keys: int = MAX_KEYS) -> "KeyLedger":
        """Return a ledger with the records of a snapshot."""
        ledger = cls(max_keys)
        for record in snapshot.records:
            ledger._put(record)
        return ledger

    def _reserve(self, index: LogIndex, command: ReserveKey) -> KeyRecord | Refusal:
        record = self.find(command.workspace, command.key)
        if record is not None and record.outcome is Execution.NOT_RUN:
            if _is_resend(record, command):
                return Refusal(Reason.CANCELLED, "the request was cancelled before it was sent")
            self._remove(record)
        elif record is not None:
            return _existing_outcome(record, command)
        if self._count >= self._max_keys and not self._evict():
            return Refusal(Reason.OVERLOADED, "too many keys are in progress")
        reserved = KeyRecord(
            command.key,
            command.workspace,
            command.digest,
            command.owner,
            command.request_id,
            index,
        )
        self._put(reserved)
        return reserved

    def _settle(self, index: LogIndex, command: SettleKey) -> KeyRecord | Refusal:
        record = self.find(command.workspace, command.key)
        if record is None:
            return self._settle_unreserved(index, command)
        if record.request_id != command.request_id or record.outcome is Execution.RAN:
            return record
        body = command.body
        if body is not None and len(body) > MAX_STORED_BODY_BYTES:
            body = None
        settled = msgspec.structs.replace(
            record, index=index, outcome=command.outcome, status=command.status, body=body
        )
        self._remove(record)
        self._put(settled)
        self._trim_bodies()
        return settled

    def _settle_unreserved(self, index: LogIndex, command: SettleKey) -> KeyRecord | Refusal:
        """Record a settlement that was applied before its reservation, which is refused later."""
        if command.outcome is not Execution.NOT_RUN:
            return Refusal(Reason.INVALID, "the key is not in the ledger any more")
        if self._count >= self._max_keys and not self._evict():
            return Refusal(Reason.OVERLOADED, "too many keys are in progress")
        settled = KeyRecord(
            command.key,
            command.workspace,
            "",
            command.owner,
            command.request_id,
            index,
            Execution.NOT_RUN,
        )
        self._put(settled)
        return settled

    def _mark_owner_lost(self, index: LogIndex, command: MarkOwnerLost) -> OwnerMarkedLost:
        lost = [
            record
            for record in sorted(self._records(), key=_age_key)
            if record.owner == command.owner and record.outcome is None
        ]
        for record in lost:
            self._remove(record)
            self._put(msgspec.structs.replace(record, index=index, outcome=Execution.UNKNOWN))
        return OwnerMarkedLost(len(lost))

    def _records(self) -> Iterator[KeyRecord]:
        return (record for by_key in self._by_workspace.values() for record in by_key.values())

    def _put(self, record: KeyRecord) -> None:
        self._by_workspace.setdefault(record.workspace, {})[record.key] = record
        self._count += 1
        if record.body is not None:
            self._body_sizes[record.workspace, record.key] = len(record.body)
            self._body_bytes += len(record.body)

    def _remove(self, record: KeyRecord) -> None:
        by_key = self._by_workspace[record.workspace]
        del by_key[record.key]
        if not by_key:
            del self._by_workspace[record.workspace]
        self._count -= 1
        self._body_bytes -= self._body_sizes.pop((record.workspace, record.key), 0)

    def _evict(self) -> bool:
        """Remove the oldest settled key of the largest workspace that has a settled key."""
        largest_first = sorted(
            self._by_workspace,
            key=lambda workspace: (-len(self._by_workspace[workspace]), workspace),
        )
        settled = (
            record
            for workspace in largest_first
            for record in self._by_workspace[workspace].values()
            if record.outcome is not None
        )
        oldest = next(settled, None)
        if oldest is None:
            return False
        self._remove(oldest)
        return True

    def _trim_bodies(self) -> None:
        while self._body_bytes > MAX_TOTAL_BODY_BYTES:
            workspace, key = next(iter(self._body_sizes))
            self._body_bytes -= self._body_sizes.pop((workspace, key))
            by_key = self._by_workspace[workspace]
            by_key[key] = msgspec.structs.replace(by_key[key], body=None)


def _age_key(record: KeyRecord) -> tuple[LogIndex, WorkspaceId, IdempotencyKey]:
    """Return a sort key that orders records by their last change."""
    return record.index, record.workspace, record.key


def _is_resend(record: KeyRecord, command: ReserveKey) -> bool:
    return record.request_id == command.request_id and record.owner == command.owner


def _existing_outcome(record: KeyRecord, command: ReserveKey) -> KeyRecord | Refusal:
    """Return the result of a reservation of a key that is in progress, ran or may have run."""
    if record.outcome is None and _is_resend(record, command):
        return record
    if record.digest != command.digest:
        return Refusal(Reason.KEY_BODY_DIFFERS, "the key was used with another request")
    if record.outcome is Execution.RAN:
        return record
    if record.outcome is Execution.UNKNOWN:
        return Refusal(
            Reason.KEY_OUTCOME_UNKNOWN,
            "whether the first request with this key ran is unknown",
            Execution.UNKNOWN,
        )
    return Refusal(
        Reason.KEY_IN_PROGRESS,
        "the first request with this key is in progress",
        Execution.UNKNOWN,
        KEY_RETRY_AFTER,
    )
