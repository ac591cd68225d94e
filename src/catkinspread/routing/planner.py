"""Plans which slots of a service move to which upstream.

The planner is deterministic: the same table and weights give the same moves in every process.
The moves are stored in the log entry, so that other instances do not compute them again.
"""

from catkinspread.configuration import SlotMove
from catkinspread.model import SLOT_COUNT, SlotTable


def current_upstream(table: SlotTable, slot: int) -> str:
    """Returns the upstream to which new flows of a slot are assigned; empty if none."""
    transition = table.transitions.get(slot)
    return table.bases[slot].default if transition is None else transition.target


def apportion_slots(
    weights: dict[str, int], slot_counts: dict[str, int] | None = None, total: int = SLOT_COUNT
) -> dict[str, int]:
    """Apportions slots to upstreams in proportion to weight, by the largest-remainder method.

    Args:
        weights: Weight by upstream; upstreams without a positive weight get no slots.
        slot_counts: Number of slots that each upstream has now. Among equal remainders, an
            upstream that already has the additional slot keeps it, which saves moves.
        total: Number of slots to apportion.

    Returns:
        Number of slots by upstream with positive weight; remaining ties are broken by name in
        ascending order. Empty if no weight is positive.
    """
    positive = {name: weight for name, weight in sorted(weights.items()) if weight > 0}
    weight_sum = sum(positive.values())
    if weight_sum == 0:
        return {}
    slot_counts = slot_counts or {}
    shares = {name: total * weight // weight_sum for name, weight in positive.items()}

    def rank(name: str) -> tuple[int, bool, str]:
        return (
            -(total * positive[name] % weight_sum),
            slot_counts.get(name, 0) <= shares[name],
            name,
        )

    for name in sorted(positive, key=rank)[: total - sum(shares.values())]:
        shares[name] += 1
    return shares


def plan_rebalance(table: SlotTable, weights: dict[str, int]) -> tuple[SlotMove, ...]:
    """Plans the minimum number of moves that give each upstream its share of the slots.

    Args:
        table: Slot table of the service.
        weights: Weight by upstream of the service. An upstream that is absent or has weight 0
            loses all its slots.

    Returns:
        Moves ordered by target, with ascending slots. If no weight is positive, every slot
        moves to the empty name, which stands for no upstream.
    """
    slots_by_upstream = _slots_by_upstream(table)
    shares = apportion_slots(
        weights, {name: len(slots) for name, slots in slots_by_upstream.items()}
    )
    if not shares:
        return _order_moves(
            {"": [slot for name, slots in slots_by_upstream.items() if name for slot in slots]}
        )
    released: list[int] = []
    for name in sorted(slots_by_upstream):
        # Releasing the highest slots first keeps the slots of an upstream stable over time.
        released.extend(slots_by_upstream[name][shares.get(name, 0) :])
    released.sort()
    moves: dict[str, list[int]] = {}
    for name in sorted(shares):
        wanted = max(0, shares[name] - len(slots_by_upstream.get(name, ())))
        moves[name] = released[:wanted]
        released = released[wanted:]
    return _order_moves(moves)


def plan_rebalance_step(
    table: SlotTable, weights: dict[str, int], max_gains: dict[str, int]
) -> tuple[SlotMove, ...]:
    """Plans one step towards the shares of `plan_rebalance`.

    An upstream that warms up, or the upstreams of a data centre that returns to service, get
    their slots in several steps. Call the function again with the table after each step until
    the result is empty.

    Args:
        table: Slot table of the service.
        weights: Weight by upstream at the end of all steps.
        max_gains: Maximum number of slots that an upstream may gain in this step, for upstreams
            that must not get all their slots at once.

    Returns:
        Moves ordered by target. A slot whose current upstream must lose all its slots is always
        moved: above the maximum gains it goes to an upstream without one. If every upstream has a
        maximum, it goes to one of them, because a drain must complete, and the rate limit of new
        flows to an upstream that warms up still applies.
    """
    moves: dict[str, list[int]] = {}
    deferred: list[int] = []
    for move in plan_rebalance(table, weights):
        urgent = [slot for slot in move.slots if _must_move(table, slot, weights)]
        others = [slot for slot in move.slots if not _must_move(table, slot, weights)]
        limit = max_gains.get(move.target, len(move.slots))
        moves[move.target] = (urgent + others)[:limit]
        deferred.extend(urgent[limit:])
    shares = apportion_slots(weights)
    receivers = [name for name in shares if name not in max_gains] or list(shares)
    slot_counts = {name: len(slots) for name, slots in _slots_by_upstream(table).items()}
    for name in receivers:
        slot_counts[name] = slot_counts.get(name, 0) + len(moves.get(name, ()))
    for slot in sorted(deferred):
        name = min(
            receivers,
            key=lambda receiver: (slot_counts[receiver] / max(1, shares[receiver]), receiver),
        )
        moves.setdefault(name, []).append(slot)
        slot_counts[name] += 1
    return _order_moves(moves)


def _must_move(table: SlotTable, slot: int, weights: dict[str, int]) -> bool:
    return weights.get(current_upstream(table, slot), 0) <= 0


def _slots_by_upstream(table: SlotTable) -> dict[str, list[int]]:
    slots_by_upstream: dict[str, list[int]] = {}
    for slot in range(len(table.bases)):
        slots_by_upstream.setdefault(current_upstream(table, slot), []).append(slot)
    return slots_by_upstream


def _order_moves(moves: dict[str, list[int]]) -> tuple[SlotMove, ...]:
    return tuple(
        SlotMove(target=name, slots=tuple(sorted(slots)))
        for name, slots in sorted(moves.items())
        if slots
    )
