"""
bulrushhollow_core.requests._key_commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Log commands of the idempotency keys.
"""

import msgspec

from bulrushhollow_core.ids import IdempotencyKey, InstanceId, RequestId, WorkspaceId
from bulrushhollow_core.outcomes import Execution


class ReserveKey(msgspec.Struct, frozen=True, tag="key_reserve"):
    """
    Claim a key before its request is sent to an endpoint.

    :param digest: digest of profile and body; the same key with another digest is a conflict.
    :param owner: the instance that is about to send the request.
    :param request_id: the request; a second reservation by the same request is a resend.
    """

    key: IdempotencyKey
    workspace: WorkspaceId
    digest: str
    owner: InstanceId
    request_id: RequestId


class SettleKey(msgspec.Struct, frozen=True, tag="key_settle"):
    """
    Record how the request of a key ended.

    :param outcome: ``NOT_RUN`` frees the key.
    :param status: HTTP status of the answer, if it ran.
    :param body: the answer's body if it is at most :data:`MAX_STORED_BODY_BYTES` bytes, else None.
    """

    key: IdempotencyKey
    workspace: WorkspaceId
    owner: InstanceId
    request_id: RequestId
    outcome: Execution
    status: int = 0
    body: bytes | None = None


class MarkOwnerLost(msgspec.Struct, frozen=True, tag="key_lose_owner"):
    """
    Turn every key that this incarnation of an instance has in progress into unknown.

    An outcome that the owner settles later still replaces the unknown.
    """

    owner: InstanceId


KeyCommand = ReserveKey | SettleKey | MarkOwnerLost

MAX_STORED_BODY_BYTES = 4096
"""Bytes of an answer's body that are kept with its key."""
