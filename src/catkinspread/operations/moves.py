"""Turns weights into slot moves with their owner groups."""

from collections.abc import Iterable

import msgspec

from catkinspread.configuration import (
    ChangeEntry,
    Effect,
    SlotMove,
    SlotsMoved,
    apply_entry,
)
from catkinspread.model import (
    Configuration,
    DataCentreState,
    OwnerGroup,
    SlotTable,
    UpstreamState,
)
from catkinspread.operations.context import (
    GROUP_SLOTS_MIN,
    MOVED_SLOTS_MAX,
    CompileContext,
)
from catkinspread.operations.owners import choose_owner_group, count_groups
from catkinspread.routing import (
    RoutingLimits,
    current_upstream,
    plan_rebalance,
    plan_rebalance_step,
)

# Exceptions are packed hashes of 64 bits.
_HASH_BYTES = 8
# Owners delay their list at this limit, so moves that only add exceptions wait too.
EXCEPTIONS_MAX = RoutingLimits().exceptions_max


class MovePlan(msgspec.Struct, frozen=True):
    """Planned moves.

    Attributes:
        effects: The moves.
        unowned_slots: Slots that stay because no live member can own their transition.
    """

    effects: tuple[SlotsMoved, ...]
    unowned_slots: int


class References(msgspec.Struct, frozen=True):
    """What still points at an upstream.

    Attributes:
        slots: Slots whose flows go to it without a transition.
        leaving_slots: Slots in transition away from it.
        arriving_slots: Slots in transition to it.
        exceptions: Flows that stay on it although their slot moved.
    """

    slots: int
    leaving_slots: int
    arriving_slots: int
    exceptions: int

    @property
    def is_empty(self) -> bool:
        """Whether nothing points at the upstream."""
        return not (self.slots or self.leaving_slots or self.arriving_slots or self.exceptions)


def count_references(table: SlotTable, name: str) -> References:
    """Returns what points at an upstream in the table of its service."""
    transitions = table.transitions
    based = {slot for slot, base in enumerate(table.bases) if base.default == name}
    arriving = {slot for slot, item in transitions.items() if item.target == name}
    return References(
        slots=len(based - transitions.keys()),
        leaving_slots=len((based & transitions.keys()) - arriving),
        arriving_slots=len(arriving),
        exceptions=sum(len(base.exceptions.get(name, b"")) for base in table.bases) // _HASH_BYTES,
    )


def weigh_upstreams(
    configuration: Configuration, services: Iterable[str]
) -> dict[str, dict[str, int]]:
    """Returns the weight that counts by upstream, for each of some services.

    An upstream that drains or whose data centre is out counts as 0.
    """
    weights: dict[str, dict[str, int]] = {service: {} for service in services}
    for upstream in configuration.upstreams.values():
        if upstream.service in weights:
            data_centre = configuration.data_centres.get(upstream.data_centre)
            is_out = data_centre is None or data_centre.state is DataCentreState.OUT
            is_taking = upstream.state is UpstreamState.ACTIVE and not is_out
            weights[upstream.service][upstream.name] = upstream.weight if is_taking else 0
    return weights


def preview_effects(
    configuration: Configuration, effects: tuple[Effect, ...], now_ms: int
) -> Configuration:
    """Returns the configuration that effects would give.

    Raises:
        EntryError: If an effect does not fit.
    """
    entry = ChangeEntry("", "", "", "", now_ms, 0, effects)
    return apply_entry(configuration, configuration.version + 1, entry)


def plan_moves(
    configuration: Configuration,
    services: Iterable[str],
    context: CompileContext,
    stepped: frozenset[str] | None = None,
) -> MovePlan:
    """Plans the moves that bring services closer to their weights.

    Services that would exceed MOVED_SLOTS_MAX are left for the next step.

    Args:
        configuration: State with the new weights.
        services: Services to plan, in this order.
        context: Live members and the size of steps.
        stepped: Upstreams that gain slots in steps; None is all.
    """
    services = list(services)
    weights = weigh_upstreams(configuration, services)
    out = frozenset(
        name
        for name, data_centre in configuration.data_centres.items()
        if data_centre.state is DataCentreState.OUT
    )
    effects: list[SlotsMoved] = []
    planned = 0
    for service in services:
        table = configuration.slot_tables[service]
        moves = _plan_service(table, weights[service], context, stepped)
        slots = _count_slots(moves)
        if planned and planned + slots > MOVED_SLOTS_MAX:
            break
        planned += slots
        effects.extend(_assign_groups(configuration, service, moves, context, out, len(services)))
    moved = sum(_count_slots(effect.moves) for effect in effects)
    return MovePlan(effects=tuple(effects), unowned_slots=planned - moved)


def _count_slots(moves: tuple[SlotMove, ...]) -> int:
    return sum(len(move.slots) for move in moves)


def _plan_service(
    table: SlotTable,
    weights: dict[str, int],
    context: CompileContext,
    stepped: frozenset[str] | None,
) -> tuple[SlotMove, ...]:
    if context.step_slots is None:
        moves = plan_rebalance(table, weights)
    else:
        limits = _limit_gains(table, weights, context.step_slots, stepped)
        moves = plan_rebalance_step(table, weights, limits)
    moves = _prefer_bases(table, moves)
    if moves and sum(base.exception_count for base in table.bases) >= EXCEPTIONS_MAX:
        return _keep_urgent(table, weights, moves)
    return moves


def _prefer_bases(table: SlotTable, moves: tuple[SlotMove, ...]) -> tuple[SlotMove, ...]:
    """Exchanges slots of moves so that slots under way return to the upstream of their base.

    The planner sees only which upstream new flows get. Without the exchange, undoing a drain
    left twice as many slots in transition: those of the drain and as many others. An exchange
    keeps source and target, so the number of slots of each upstream stays as planned.
    """
    moved = {slot for move in moves for slot in move.slots}
    returning: dict[tuple[str, str], list[int]] = {}
    for slot, transition in sorted(table.transitions.items()):
        if slot not in moved and table.bases[slot].default != transition.target:
            key = transition.target, table.bases[slot].default
            returning.setdefault(key, []).append(slot)
    exchanged = []
    for move in moves:
        slots = []
        for slot in move.slots:
            source = current_upstream(table, slot)
            candidates = returning.get((source, move.target))
            is_back = table.bases[slot].default == move.target
            slots.append(candidates.pop() if candidates and not is_back else slot)
        exchanged.append(SlotMove(move.target, tuple(sorted(slots))))
    return tuple(exchanged)


def _limit_gains(
    table: SlotTable, weights: dict[str, int], step_slots: int, stepped: frozenset[str] | None
) -> dict[str, int]:
    held = dict.fromkeys(weights, 0)
    for slot in range(len(table.bases)):
        name = current_upstream(table, slot)
        if name in held:
            held[name] += 1
    # Each step doubles what the upstream has, as its load may grow while it warms up.
    return {
        name: max(step_slots, slots)
        for name, slots in held.items()
        if stepped is None or name in stepped
    }


def _keep_urgent(
    table: SlotTable, weights: dict[str, int], moves: tuple[SlotMove, ...]
) -> tuple[SlotMove, ...]:
    """Drops the moves that can wait, because each adds exceptions and there are too many."""
    kept = []
    for move in moves:
        slots = tuple(slot for slot in move.slots if not weights.get(current_upstream(table, slot)))
        if slots:
            kept.append(SlotMove(move.target, slots))
    return tuple(kept)


def _assign_groups(
    configuration: Configuration,
    service: str,
    moves: tuple[SlotMove, ...],
    context: CompileContext,
    out: frozenset[str],
    service_count: int,
) -> list[SlotsMoved]:
    table = configuration.slot_tables[service]
    targets = sorted((slot, move.target) for move in moves for slot in move.slots)
    owned = [item for item in targets if _needs_owner(table, item[0])]
    free = [item for item in targets if not _needs_owner(table, item[0])]
    effects: list[SlotsMoved] = []
    if free:
        effects.append(SlotsMoved(service, _group_moves(free), OwnerGroup(())))
    groups = count_groups(len(owned), service_count, context.live_members, GROUP_SLOTS_MIN)
    group_slots = -(-len(owned) // groups)
    for first in range(0, len(owned), max(1, group_slots)):
        key = f"{service}/{configuration.version}/{first}"
        group = choose_owner_group(key, context.live_members, out)
        if group.members:
            chunk = owned[first : first + group_slots]
            effects.append(SlotsMoved(service, _group_moves(chunk), group))
    return effects


def _needs_owner(table: SlotTable, slot: int) -> bool:
    """A slot in transition keeps its group; a slot without upstream has no flows to keep."""
    return slot not in table.transitions and bool(table.bases[slot].default)


def _group_moves(targets: list[tuple[int, str]]) -> tuple[SlotMove, ...]:
    slots_by_target: dict[str, list[int]] = {}
    for slot, target in targets:
        slots_by_target.setdefault(target, []).append(slot)
    return tuple(SlotMove(name, tuple(slots)) for name, slots in sorted(slots_by_target.items()))
