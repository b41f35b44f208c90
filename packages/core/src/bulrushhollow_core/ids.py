"""
bulrushhollow_core.ids
~~~~~~~~~~~~~~~~~~~~~~

Identifiers and scalar quantities shared by every module of the core.
"""

from typing import Annotated, NewType

import msgspec

INT64 = msgspec.Meta(ge=-(2**63), le=2**63 - 1)
"""Range of whole numbers that every codec carries; a call with any other is malformed."""

Int64 = Annotated[int, INT64]
"""A whole number that comes from outside."""

InstanceId = NewType("InstanceId", str)
"""One incarnation of a daemon; an instance that lost its disk comes back under a new one."""

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
"""A duration, or a reading of one process's monotonic clock."""

Version = NewType("Version", int)
"""Sequence number of an accepted configuration change; the first is 1."""

Epoch = NewType("Epoch", int)
"""Fencing token of a data centre's lease; a later holder always has a greater one."""

Attempt = NewType("Attempt", int)
"""Number of a start of one job; the first is 1."""

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)

TaskId = NewType("TaskId", str)
"""One task of one attempt of a job: ``job/attempt/number``."""

InstanceName = NewType("InstanceName", str)
"""Name of a place in the settings that successive incarnations of an instance fill."""


def name_of(instance: InstanceId) -> InstanceName:
    """Return the name whose place this incarnation fills."""
    return InstanceName(instance.rpartition(".")[0])
