"""
bulrushhollow_core.jobs._guarantees
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reserves a placement for every guaranteed gang that is not claimed at present. These placements
overlap neither each other nor non-preemptible work; preemptible work may run on them. A slot with
a placement can therefore always be claimed by preempting the work on its workers.
"""

from collections.abc import Iterable

import msgspec

from bulrushhollow_core.ids import DataCentreId, GuaranteeName, WorkerId, WorkspaceId
from bulrushhollow_core.jobs._fleet import Fleet, Placement, Worker
from bulrushhollow_core.jobs._packing import find_placement, iterate_placements, spare_headroom
from bulrushhollow_core.jobs._views import GuaranteeShortfall
from bulrushhollow_core.models import Guarantee, Resources, Shape, Workspace

MAX_REPACK_STEPS = 400
"""Placements tried in one search that places all slots anew."""

MAX_REPACK_SLOTS = 48
"""Number of slots above which only the slots on overcommitted workers are placed anew."""


class GuaranteeSlotKey(msgspec.Struct, frozen=True, order=True):
    """Identifies one of the gangs that a guarantee allows at once; ``number`` counts from 0."""

    workspace: WorkspaceId
    guarantee: GuaranteeName
    number: int


class GuaranteeSlot(msgspec.Struct):
    """An unclaimed slot and the placement reserved for it, if there is one."""

    key: GuaranteeSlotKey
    shape: Shape
    placement: Placement | None = None


class GuaranteePlacements:
    """
    The placements reserved for the unclaimed guarantees of one data centre.

    :param fleet: the ``spare`` amounts of its workers are changed only by this class.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._guarantees_by_name: dict[tuple[WorkspaceId, GuaranteeName], Guarantee] = {}
        self._slots_by_key: dict[GuaranteeSlotKey, GuaranteeSlot] = {}
        self._claimed_keys: set[GuaranteeSlotKey] = set()
        self._keys_by_worker: dict[WorkerId, set[GuaranteeSlotKey]] = {}
        self._unplaced_slots_by_key: dict[GuaranteeSlotKey, GuaranteeSlot] = {}
        self._tried_at_release_count = -1

    @property
    def has_unplaced_slots(self) -> bool:
        """Return whether any unclaimed slot has no placement."""
        return bool(self._unplaced_slots_by_key)

    def configure(self, data_centre: DataCentreId, workspaces: Iterable[Workspace]) -> None:
        """Set the guarantees to those that the workspaces have in this data centre."""
        self._guarantees_by_name = {
            (workspace.id, guarantee.name): guarantee
            for workspace in workspaces
            for guarantee in workspace.guarantees
            if guarantee.data_centre == data_centre
        }
        shapes_by_key = {
            GuaranteeSlotKey(workspace, name, number): guarantee.shape
            for (workspace, name), guarantee in self._guarantees_by_name.items()
            for number in range(guarantee.count)
        }
        for key, slot in list(self._slots_by_key.items()):
            if shapes_by_key.get(key) != slot.shape:
                self._remove_slot(slot)
        for key, shape in shapes_by_key.items():
            if key not in self._slots_by_key and key not in self._claimed_keys:
                self._add_slot(GuaranteeSlot(key, shape))
        self._tried_at_release_count = -1
        self.place_missing_slots()

    def claimable_slot(
        self, workspace: WorkspaceId, guarantee: GuaranteeName
    ) -> GuaranteeSlotKey | None:
        """Return an unclaimed slot of a guarantee, preferably one with a placement."""
        declared = self._guarantees_by_name.get((workspace, guarantee))
        if declared is None:
            return None
        keys = (GuaranteeSlotKey(workspace, guarantee, number) for number in range(declared.count))
        unclaimed = [key for key in keys if key in self._slots_by_key]
        return min(unclaimed, key=lambda key: key in self._unplaced_slots_by_key, default=None)

    def placement_of(self, key: GuaranteeSlotKey) -> Placement | None:
        """Return the placement reserved for an unclaimed slot."""
        return self._slots_by_key[key].placement

    def claim(self, key: GuaranteeSlotKey, placement: Placement) -> bool:
        """
        Turn an unclaimed slot into non-preemptible work on the given workers.

        :return: False, with nothing changed, if another slot would lose its placement.
        """
        slot = self._slots_by_key[key]
        reserved = slot.placement
        self._remove_slot(slot)
        if self.admit(placement, slot.shape.per_task):
            self._claimed_keys.add(key)
            return True
        self._add_slot(slot)
        if reserved is not None:
            self._set_placement(slot, reserved)
        return False

    def release_claim(self, key: GuaranteeSlotKey, placement: Placement, need: Resources) -> None:
        """End a claim; its placement stays reserved for the slot if its workers are usable."""
        self._fleet.release_spare(placement, need)
        self._claimed_keys.discard(key)
        declared = self._guarantees_by_name.get((key.workspace, key.guarantee))
        if declared is None or key.number >= declared.count:
            self.place_missing_slots()
            return
        slot = GuaranteeSlot(key, declared.shape)
        self._add_slot(slot)
        if slot.shape.per_task == need and len(placement) == slot.shape.tasks:
            self._set_placement_if_possible(slot, placement)
        self.place_missing_slots()

    def admit(self, placement: Placement, need: Resources) -> bool:
        """
        Reserve spare resources for non-preemptible work, relocating slots that are in its way.

        :return: False, with nothing changed, if a slot would lose its placement.
        """
        self._fleet.reserve_spare(placement, need)
        overcommitted = {
            worker
            for worker in placement
            if self._fleet.workers_by_id[worker].spare.is_overcommitted()
        }
        if not overcommitted or self._relocate_slots(overcommitted):
            return True
        self._fleet.reserve_spare(placement, need, -1)
        return False

    def admit_running(
        self, placement: Placement, need: Resources, key: GuaranteeSlotKey | None
    ) -> None:
        """
        Reserve spare resources for work that is already running. Slots in its way lose their
        placement.

        :param key: the slot that the work claims, if any.
        """
        if key is not None:
            self._remove_slot(self._slots_by_key[key])
            self._claimed_keys.add(key)
        self._fleet.reserve_spare(placement, need)
        overcommitted = {
            worker
            for worker in placement
            if self._fleet.workers_by_id[worker].spare.is_overcommitted()
        }
        for slot in self._slots_on(overcommitted):
            self._clear_placement(slot)
        self._tried_at_release_count = -1

    def release(self, placement: Placement, need: Resources) -> None:
        """Release the spare resources of non-preemptible work that claimed no slot."""
        self._fleet.release_spare(placement, need)
        self.place_missing_slots()

    def worker_lost(self, worker: Worker) -> None:
        """Find other placements for the slots on a worker that is no longer usable."""
        for slot in self._slots_on({worker.id}):
            self._clear_placement(slot)
        self._tried_at_release_count = -1
        self.place_missing_slots()

    def place_missing_slots(self) -> None:
        """
        Search for placements of the unplaced slots, the largest first. Does nothing if no resources
        were released since the last search.
        """
        if (
            not self._unplaced_slots_by_key
            or self._tried_at_release_count == self._fleet.release_count
        ):
            return
        for slot in sorted(self._unplaced_slots_by_key.values(), key=_largest_first):
            self._place(slot)
        if self._unplaced_slots_by_key:
            self._repack()
        self._tried_at_release_count = self._fleet.release_count

    def worker_returned(self) -> None:
        """Search again for placements of the unplaced slots."""
        self._tried_at_release_count = -1
        self.place_missing_slots()

    def unmet_guarantees(self) -> list[GuaranteeShortfall]:
        """Return the guarantees of which some slots have no placement at present."""
        counts_by_name: dict[tuple[WorkspaceId, GuaranteeName], int] = {}
        for key in self._unplaced_slots_by_key:
            name = (key.workspace, key.guarantee)
            counts_by_name[name] = counts_by_name.get(name, 0) + 1
        return [self._unmet_guarantee(name, count) for name, count in counts_by_name.items()]

    def _unmet_guarantee(
        self, name: tuple[WorkspaceId, GuaranteeName], unplaced: int
    ) -> GuaranteeShortfall:
        declared = self._guarantees_by_name[name]
        gang_accelerators = declared.shape.tasks * declared.shape.per_task.accelerators
        return GuaranteeShortfall(
            name[0], name[1], declared.count, unplaced, unplaced * gang_accelerators
        )

    def _set_placement_if_possible(self, slot: GuaranteeSlot, placement: Placement) -> None:
        if not all(self._fleet.workers_by_id[worker].is_usable for worker in placement):
            return
        self._set_placement(slot, placement)
        if any(self._fleet.workers_by_id[worker].spare.is_overcommitted() for worker in placement):
            self._clear_placement(slot)

    def _relocate_slots(self, overcommitted: set[WorkerId]) -> bool:
        """Move the slots on overcommitted workers elsewhere, or restore all placements."""
        previous = [(slot, slot.placement) for slot in self._slots_on(overcommitted)]
        for slot, _ in previous:
            self._clear_placement(slot)
        amounts = (self._fleet.workers_by_id[worker].spare for worker in overcommitted)
        is_enough = not any(amount.is_overcommitted() for amount in amounts)
        slots = sorted((slot for slot, _ in previous), key=_largest_first)
        if is_enough and all(self._place(slot) for slot in slots):
            return True
        if is_enough and self._repack_if_few():
            return True
        for slot, _ in previous:
            if slot.placement is not None:
                self._clear_placement(slot)
        for slot, placement in previous:
            if placement is not None:
                self._set_placement(slot, placement)
        return False

    def _repack_if_few(self) -> bool:
        """Place all slots anew unless there are too many; return whether each has a placement."""
        if len(self._slots_by_key) > MAX_REPACK_SLOTS:
            return False
        return self._repack()

    def _repack(self) -> bool:
        """
        Place all slots anew with bounded backtracking.

        :return: False, with the previous placements restored, if no full packing was found.
        """
        if len(self._slots_by_key) > MAX_REPACK_SLOTS:
            return False
        slots = sorted(self._slots_by_key.values(), key=_largest_first)
        previous = [(slot, slot.placement) for slot in slots]
        for slot in slots:
            if slot.placement is not None:
                self._clear_placement(slot)
        steps_left = [MAX_REPACK_STEPS]
        if self._place_all(slots, steps_left):
            return True
        for slot, placement in previous:
            if placement is not None:
                self._set_placement(slot, placement)
        return False

    def _place_all(self, slots: list[GuaranteeSlot], steps_left: list[int]) -> bool:
        """
        Place all slots by depth-first search.

        :param steps_left: one element, which all levels of the recursion count down.
        """
        if not slots:
            return True
        slot, other_slots = slots[0], slots[1:]
        for placement in iterate_placements(self._fleet, slot.shape, spare_headroom(slot.shape)):
            steps_left[0] -= 1
            if steps_left[0] < 0:
                return False
            self._set_placement(slot, placement)
            if self._place_all(other_slots, steps_left):
                return True
            self._clear_placement(slot)
        return False

    def _place(self, slot: GuaranteeSlot) -> bool:
        placement = find_placement(self._fleet, slot.shape, spare_headroom(slot.shape))
        if placement is None:
            return False
        self._set_placement(slot, placement)
        return True

    def _slots_on(self, workers: Iterable[WorkerId]) -> list[GuaranteeSlot]:
        keys = {key for worker in workers for key in self._keys_by_worker.get(worker, ())}
        return [self._slots_by_key[key] for key in sorted(keys)]

    def _set_placement(self, slot: GuaranteeSlot, placement: Placement) -> None:
        slot.placement = placement
        self._unplaced_slots_by_key.pop(slot.key, None)
        self._fleet.reserve_spare(placement, slot.shape.per_task)
        for worker in set(placement):
            self._keys_by_worker.setdefault(worker, set()).add(slot.key)

    def _clear_placement(self, slot: GuaranteeSlot) -> None:
        if slot.placement is None:
            return
        self._fleet.reserve_spare(slot.placement, slot.shape.per_task, -1)
        for worker in set(slot.placement):
            self._keys_by_worker[worker].discard(slot.key)
        slot.placement = None
        self._unplaced_slots_by_key[slot.key] = slot

    def _add_slot(self, slot: GuaranteeSlot) -> None:
        self._slots_by_key[slot.key] = slot
        self._unplaced_slots_by_key[slot.key] = slot

    def _remove_slot(self, slot: GuaranteeSlot) -> None:
        self._clear_placement(slot)
        del self._slots_by_key[slot.key]
        del self._unplaced_slots_by_key[slot.key]


def _largest_first(slot: GuaranteeSlot) -> tuple[int, int, GuaranteeSlotKey]:
    need = slot.shape.per_task
    return (-slot.shape.tasks * need.accelerators, -slot.shape.tasks * need.cores, slot.key)
