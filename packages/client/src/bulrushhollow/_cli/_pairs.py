"""
bulrushhollow._cli._pairs
~~~~~~~~~~~~~~~~~~~~~~~~~

Reads option values such as ``id=r1,workers=6,accelerators=8`` into racks and guarantees.
"""

from typing import TypeVar

import msgspec

from bulrushhollow._cli._common import invalid
from bulrushhollow.models import Adjacency, Guarantee, Rack, Resources, Shape
from bulrushhollow_core.ids import DataCentreId, GuaranteeName, RackId

T = TypeVar("T")


class RackPairs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a rack may be given as."""

    id: RackId
    workers: int
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0


class GuaranteePairs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a guarantee may be given as; the resources are those of each task."""

    name: GuaranteeName
    data_centre: DataCentreId
    tasks: int = 1
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0
    adjacency: Adjacency = Adjacency.DATA_CENTRE
    count: int = 1


def parse_rack(text: str) -> Rack:
    """Read a rack of equal workers."""
    pairs = _parse(text, RackPairs, "--rack")
    per_worker = Resources(pairs.accelerators, pairs.cores, pairs.memory_mb)
    return Rack(pairs.id, pairs.workers, per_worker)


def parse_guarantee(text: str) -> Guarantee:
    """Read a guarantee of a workspace."""
    pairs = _parse(text, GuaranteePairs, "--guarantee")
    per_task = Resources(pairs.accelerators, pairs.cores, pairs.memory_mb)
    shape = Shape(pairs.tasks, per_task, pairs.adjacency)
    return Guarantee(pairs.name, pairs.data_centre, shape, pairs.count)


def _parse(text: str, kind: type[T], option: str) -> T:
    parts = [part.partition("=") for part in text.split(",")]
    values_by_field = {name.strip(): value.strip() for name, _, value in parts}
    if len(values_by_field) < len(parts) or not all(equals for _, equals, _ in parts):
        raise invalid(f"{option} {text!r}: give field=value pairs split by commas, each once")
    try:
        return msgspec.convert(values_by_field, kind, strict=False)
    except msgspec.ValidationError as error:
        raise invalid(f"{option} {text!r}: {error}") from None
