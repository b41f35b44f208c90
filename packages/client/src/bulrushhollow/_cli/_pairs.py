"""
bulrushhollow._cli._pairs
~~~~~~~~~~~~~~~~~~~~~~~~~

Parses option values such as ``id=r1,workers=6,accelerators=8`` into racks and guarantees.
"""

from typing import TypeVar

import msgspec

from bulrushhollow._cli._common import usage_error
from bulrushhollow.models import Adjacency, Guarantee, Rack, Resources, Shape
from bulrushhollow_core.ids import DataCentreId, GuaranteeName, RackId

T = TypeVar("T")


class RackPairs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fields of ``--rack``; the resources are those of each worker."""

    id: RackId
    workers: int
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0


class GuaranteePairs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fields of ``--guarantee``; the resources are those of each task."""

    name: GuaranteeName
    data_centre: DataCentreId
    tasks: int = 1
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0
    adjacency: Adjacency = Adjacency.DATA_CENTRE
    count: int = 1


def parse_rack(text: str) -> Rack:
    """Parse a rack of identical workers."""
    fields = _parse(text, RackPairs, "--rack")
    per_worker = Resources(fields.accelerators, fields.cores, fields.memory_mb)
    return Rack(fields.id, fields.workers, per_worker)


def parse_guarantee(text: str) -> Guarantee:
    """Parse a guarantee of a workspace."""
    fields = _parse(text, GuaranteePairs, "--guarantee")
    per_task = Resources(fields.accelerators, fields.cores, fields.memory_mb)
    shape = Shape(fields.tasks, per_task, fields.adjacency)
    return Guarantee(fields.name, fields.data_centre, shape, fields.count)


def _parse(text: str, struct_type: type[T], option: str) -> T:
    pairs = [part.partition("=") for part in text.split(",")]
    values_by_field = {name.strip(): value.strip() for name, _, value in pairs}
    if len(values_by_field) < len(pairs) or not all(equals_sign for _, equals_sign, _ in pairs):
        raise usage_error(f"{option} {text!r}: give field=value pairs split by commas, each once")
    try:
        return msgspec.convert(values_by_field, struct_type, strict=False)
    except msgspec.ValidationError as error:
        raise usage_error(f"{option} {text!r}: {error}") from None
