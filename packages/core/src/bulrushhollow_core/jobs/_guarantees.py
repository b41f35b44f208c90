"""
bulrushhollow_core.jobs._guarantees
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps a place for every guaranteed gang that is not claimed at present. The places overlap neither
each other nor work that may not be preempted; preemptible work may stand on them. As long as a
unit has its place, it can be claimed by preempting whatever is there.
"""

from collections.abc import Iterable

import msgspec

from bulrushhollow_core.ids import DataCentreId, GuaranteeName, WorkerId, WorkspaceId
from bulrushhollow_core.jobs._fleet import Fleet, Placement, Worker
from bulrushhollow_core.jobs._packing import find_placement, iterate_placements, spare_headroom
from bulrushhollow_core.jobs._views import LackingGuarantee
from bulrushhollow_core.models import Guarantee, Resources, Shape, Workspace

REPACK_STEPS = 400
"""Places tried when all kept places are arranged anew."""

REPACK_UNITS = 48
"""Kept places beyond which only those in the way are arranged anew, not all."""


class GuaranteeSlotKey(msgspec.Struct, frozen=True, order=True):
    """One of the gangs that a guarantee allows at once; ``number`` counts from 0."""

    workspace: WorkspaceId
    guarantee: GuaranteeName
    number: int


class GuaranteeSlot(msgspec.Struct):
    """An unclaimed unit and the place kept for it, if there is one."""

    key: GuaranteeSlotKey
    shape: Shape
    place: Placement | None = None


class GuaranteePlacements:
    """
    The kept places of one data centre.

    :param fleet: its ``spare`` accounts are changed here and nowhere else.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._guarantees_by_name: dict[tuple[WorkspaceId, GuaranteeName], Guarantee] = {}
        self._units_by_key: dict[GuaranteeSlotKey, GuaranteeSlot] = {}
        self._claimed: set[GuaranteeSlotKey] = set()
        self._keys_by_worker: dict[WorkerId, set[GuaranteeSlotKey]] = {}
        self._lacking: dict[GuaranteeSlotKey, GuaranteeSlot] = {}
        self._tried_at = -1

    @property
    def has_unplaced_slots(self) -> bool:
        """Return whether any unclaimed unit has no place."""
        return bool(self._lacking)

    def configure(self, data_centre: DataCentreId, workspaces: Iterable[Workspace]) -> None:
        """Take over the guarantees of all workspaces that concern this data centre."""
        self._guarantees_by_name = {
            (workspace.id, guarantee.name): guarantee
            for workspace in workspaces
            for guarantee in workspace.guarantees
            if guarantee.data_centre == data_centre
        }
        wanted = {
            GuaranteeSlotKey(workspace, name, number): guarantee.shape
            for (workspace, name), guarantee in self._guarantees_by_name.items()
            for number in range(guarantee.count)
        }
        for key, unit in list(self._units_by_key.items()):
            if wanted.get(key) != unit.shape:
                self._drop(unit)
        for key, shape in wanted.items():
            if key not in self._units_by_key and key not in self._claimed:
                self._add(GuaranteeSlot(key, shape))
        self._tried_at = -1
        self.place_missing_slots()

    def claimable_slot(
        self, workspace: WorkspaceId, guarantee: GuaranteeName
    ) -> GuaranteeSlotKey | None:
        """Return an unclaimed unit of a guarantee, one with a place if there is any."""
        declared = self._guarantees_by_name.get((workspace, guarantee))
        if declared is None:
            return None
        keys = (GuaranteeSlotKey(workspace, guarantee, number) for number in range(declared.count))
        unclaimed = [key for key in keys if key in self._units_by_key]
        return min(unclaimed, key=lambda key: key in self._lacking, default=None)

    def placement_of(self, key: GuaranteeSlotKey) -> Placement | None:
        """Return the place kept for an unclaimed unit."""
        return self._units_by_key[key].place

    def claim(self, key: GuaranteeSlotKey, place: Placement) -> bool:
        """
        Turn an unclaimed unit into non-preemptible work at some place.

        :return: False, with nothing changed, if another unit would lose its place by it.
        """
        unit = self._units_by_key[key]
        kept = unit.place
        self._drop(unit)
        if self.admit(place, unit.shape.per_task):
            self._claimed.add(key)
            return True
        self._add(unit)
        if kept is not None:
            self._set_place(unit, kept)
        return False

    def release_claim(self, key: GuaranteeSlotKey, place: Placement, need: Resources) -> None:
        """End a claim; its place is kept for the unit as long as its workers are usable."""
        self._fleet.release_spare(place, need)
        self._claimed.discard(key)
        declared = self._guarantees_by_name.get((key.workspace, key.guarantee))
        if declared is None or key.number >= declared.count:
            self.place_missing_slots()
            return
        unit = GuaranteeSlot(key, declared.shape)
        self._add(unit)
        if unit.shape.per_task == need and len(place) == unit.shape.tasks:
            self._keep_if_possible(unit, place)
        self.place_missing_slots()

    def admit(self, place: Placement, need: Resources) -> bool:
        """
        Take room for non-preemptible work, moving kept places out of its way.

        :return: False, with nothing changed, if a unit would lose its place by it.
        """
        self._fleet.reserve_spare(place, need)
        overdrawn = {w for w in place if self._fleet.workers_by_id[w].spare.is_overcommitted()}
        if not overdrawn or self._rearrange(overdrawn):
            return True
        self._fleet.reserve_spare(place, need, -1)
        return False

    def admit_running(
        self, place: Placement, need: Resources, key: GuaranteeSlotKey | None
    ) -> None:
        """Take room for work that is already running; units in its way may lose their place."""
        if key is not None:
            self._drop(self._units_by_key[key])
            self._claimed.add(key)
        self._fleet.reserve_spare(place, need)
        overdrawn = {w for w in place if self._fleet.workers_by_id[w].spare.is_overcommitted()}
        for unit in self._units_on(overdrawn):
            self._lift(unit)
        self._tried_at = -1

    def release(self, place: Placement, need: Resources) -> None:
        """Give back room of non-preemptible work that claimed no unit."""
        self._fleet.release_spare(place, need)
        self.place_missing_slots()

    def worker_lost(self, worker: Worker) -> None:
        """Find other places for units kept on a worker that can't be used any more."""
        for unit in self._units_on({worker.id}):
            self._lift(unit)
        self._tried_at = -1
        self.place_missing_slots()

    def place_missing_slots(self) -> None:
        """Look for places for units without one, the largest first."""
        if not self._lacking or self._tried_at == self._fleet.release_count:
            return
        for unit in sorted(self._lacking.values(), key=_largest_first):
            self._place(unit)
        if self._lacking:
            self._repack()
        self._tried_at = self._fleet.release_count

    def worker_returned(self) -> None:
        """Look again for places for units without one."""
        self._tried_at = -1
        self.place_missing_slots()

    def unmet_guarantees(self) -> list[LackingGuarantee]:
        """Return the guarantees that can't be honoured in full at present."""
        keys_by_guarantee: dict[tuple[WorkspaceId, GuaranteeName], int] = {}
        for key in self._lacking:
            named = (key.workspace, key.guarantee)
            keys_by_guarantee[named] = keys_by_guarantee.get(named, 0) + 1
        return [self._lacking_of(named, count) for named, count in keys_by_guarantee.items()]

    def _lacking_of(self, named: tuple[WorkspaceId, GuaranteeName], count: int) -> LackingGuarantee:
        declared = self._guarantees_by_name[named]
        each = declared.shape.tasks * declared.shape.per_task.accelerators
        return LackingGuarantee(named[0], named[1], declared.count, count, count * each)

    def _keep_if_possible(self, unit: GuaranteeSlot, place: Placement) -> None:
        if not all(self._fleet.workers_by_id[worker].is_usable for worker in place):
            return
        self._set_place(unit, place)
        if any(self._fleet.workers_by_id[worker].spare.is_overcommitted() for worker in place):
            self._lift(unit)

    def _rearrange(self, overdrawn: set[WorkerId]) -> bool:
        """Lift units off overdrawn workers and place them elsewhere, or undo it all."""
        moved = [(unit, unit.place) for unit in self._units_on(overdrawn)]
        for unit, _ in moved:
            self._lift(unit)
        spaces = (self._fleet.workers_by_id[worker].spare for worker in overdrawn)
        enough = not any(space.is_overcommitted() for space in spaces)
        units = sorted((unit for unit, _ in moved), key=_largest_first)
        if enough and all(self._place(unit) for unit in units):
            return True
        if enough and self._repack_or_undo():
            return True
        for unit, _ in moved:
            if unit.place is not None:
                self._lift(unit)
        for unit, place in moved:
            if place is not None:
                self._set_place(unit, place)
        return False

    def _repack_or_undo(self) -> bool:
        """Arrange all units anew; succeed only if none that had a place goes without."""
        if len(self._units_by_key) > REPACK_UNITS:
            return False
        return self._repack()

    def _repack(self) -> bool:
        """Arrange all units anew with bounded backtracking; keep the old order if it fails."""
        if len(self._units_by_key) > REPACK_UNITS:
            return False
        units = sorted(self._units_by_key.values(), key=_largest_first)
        before = [(unit, unit.place) for unit in units]
        for unit in units:
            if unit.place is not None:
                self._lift(unit)
        steps = [REPACK_STEPS]
        if self._place_all(units, steps):
            return True
        for unit, place in before:
            if place is not None:
                self._set_place(unit, place)
        return False

    def _place_all(self, units: list[GuaranteeSlot], steps: list[int]) -> bool:
        if not units:
            return True
        unit, rest = units[0], units[1:]
        for place in iterate_placements(self._fleet, unit.shape, spare_headroom(unit.shape)):
            steps[0] -= 1
            if steps[0] < 0:
                return False
            self._set_place(unit, place)
            if self._place_all(rest, steps):
                return True
            self._lift(unit)
        return False

    def _place(self, unit: GuaranteeSlot) -> bool:
        place = find_placement(self._fleet, unit.shape, spare_headroom(unit.shape))
        if place is None:
            return False
        self._set_place(unit, place)
        return True

    def _units_on(self, workers: Iterable[WorkerId]) -> list[GuaranteeSlot]:
        keys = {key for worker in workers for key in self._keys_by_worker.get(worker, ())}
        return [self._units_by_key[key] for key in sorted(keys)]

    def _set_place(self, unit: GuaranteeSlot, place: Placement) -> None:
        unit.place = place
        self._lacking.pop(unit.key, None)
        self._fleet.reserve_spare(place, unit.shape.per_task)
        for worker in set(place):
            self._keys_by_worker.setdefault(worker, set()).add(unit.key)

    def _lift(self, unit: GuaranteeSlot) -> None:
        if unit.place is None:
            return
        self._fleet.reserve_spare(unit.place, unit.shape.per_task, -1)
        for worker in set(unit.place):
            self._keys_by_worker[worker].discard(unit.key)
        unit.place = None
        self._lacking[unit.key] = unit

    def _add(self, unit: GuaranteeSlot) -> None:
        self._units_by_key[unit.key] = unit
        self._lacking[unit.key] = unit

    def _drop(self, unit: GuaranteeSlot) -> None:
        self._lift(unit)
        del self._units_by_key[unit.key]
        del self._lacking[unit.key]


def _largest_first(unit: GuaranteeSlot) -> tuple[int, int, GuaranteeSlotKey]:
    need = unit.shape.per_task
    return (-unit.shape.tasks * need.accelerators, -unit.shape.tasks * need.cores, unit.key)
