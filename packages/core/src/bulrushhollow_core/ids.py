"""
bulrushhollow_core.ids
~~~~~~~~~~~~~~~~~~~~~~

Identifiers and scalar quantities shared by every module of the core.
"""

from typing import Annotated, NewType

import msgspec

INT64 = msgspec.Meta(ge=-(2**63), le=2**63 - 1)
"""Range of integers that every codec can encode; a call with a number outside it is malformed."""

Int64 = Annotated[int, INT64]
"""An integer that is read from outside the process."""

COUNT = msgspec.Meta(ge=0, le=2**53)
"""Range of what is counted up, in messages of other instances. The next number must fit into
messages and records too, or no instance could go on from it."""

InstanceId = NewType("InstanceId", str)
"""Incarnation of an instance; an instance that lost its disk restarts with a new id."""

DataCentreId = NewType("DataCentreId", str)
WorkspaceId = NewType("WorkspaceId", str)
ProfileName = NewType("ProfileName", str)
GuaranteeName = NewType("GuaranteeName", str)
EndpointId = NewType("EndpointId", str)
WorkerId = NewType("WorkerId", str)
RackId = NewType("RackId", str)
JobId = NewType("JobId", str)
RequestId = NewType("RequestId", str)
ChangeId = NewType("ChangeId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

Seconds = NewType("Seconds", float)
"""A duration in seconds, or a reading of one process's monotonic clock."""

Version = NewType("Version", int)
"""Sequence number of an accepted configuration change; the first is 1."""

Epoch = NewType("Epoch", int)
"""Fencing token of a data centre's lease; each new holder gets a greater epoch."""

Attempt = NewType("Attempt", int)
"""Sequence number of a start of one job; the first is 1."""

Term = NewType("Term", int)

FencingToken = NewType("FencingToken", int)
"""Number of an order to a worker, which carries out no order with a lower one than it has seen."""

LogIndex = NewType("LogIndex", int)

TaskId = NewType("TaskId", str)
"""Identifies one task of one attempt of a job: ``job/attempt/number``."""

InstanceName = NewType("InstanceName", str)
"""Name of an instance in the settings; the same for its successive incarnations."""


def name_of(instance: InstanceId) -> InstanceName:
    """Return the name of the instance that an incarnation belongs to."""
    return InstanceName(instance.rpartition(".")[0])
