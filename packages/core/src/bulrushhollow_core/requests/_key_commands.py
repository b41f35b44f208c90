"""
bulrushhollow_core.requests._key_commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands of the replicated log for idempotency keys.
"""

import msgspec

from bulrushhollow_core.ids import IdempotencyKey, InstanceId, RequestId, WorkspaceId
from bulrushhollow_core.outcomes import Execution


class ReserveKey(msgspec.Struct, frozen=True, tag="key_reserve"):
    """
    Reserve a key before its request is sent to an endpoint.

    :param digest: digest of profile and body; the same key with another digest is a conflict.
    :param owner: the instance that will send the request.
    :param request_id: the request; a second reservation by the same owner and request is a repeat
        of the command, not a conflict.
    """

    key: IdempotencyKey
    workspace: WorkspaceId
    digest: str
    owner: InstanceId
    request_id: RequestId


class SettleKey(msgspec.Struct, frozen=True, tag="key_settle"):
    """
    Record the outcome of the request that reserved a key.

    :param outcome: ``NOT_RUN`` allows another request to reserve the key.
    :param status: HTTP status of the answer, if the request ran.
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
    Set the outcome of every key that a lost incarnation has in progress to unknown.

    An outcome that the owner settles later still replaces it.
    """

    owner: InstanceId


KeyCommand = ReserveKey | SettleKey | MarkOwnerLost

MAX_STORED_BODY_BYTES = 4096
"""Maximum bytes of an answer's body that is kept with its key."""
