"""Plans which slots of a service move to which upstream.

The planner is pure: the same table and weights give the same moves in every process. Its
result is stored in the log entry, so replicas never run it.
"""

from catkinspread.configuration import SlotMove
from catkinspread.model import SLOT_COUNT, SlotTable


def current_upstream(table: SlotTable, slot: int) -> str:
    """Returns the upstream that new flows of a slot get; empty if none."""
    transition = table.transitions.get(slot)
    return table.bases[slot].default if transition is None else transition.target


def apportion_slots(
    weights: dict[str, int], held: dict[str, int] | None = None, total: int = SLOT_COUNT
) -> dict[str, int]:
    """Divides slots among upstreams by largest remainder.

    Args:
        weights: Weight by upstream; those without positive weight get no share.
        held: Number of slots that an upstream has now. Among equal remainders an upstream that
            already holds the additional slot gets it, which saves moves.
        total: Number of slots to divide.

    Returns:
        Number of slots by upstream with positive weight; further ties go to the lesser name.
        Empty if no weight is positive.
    """
    positive = {name: weight for name, weight in sorted(weights.items()) if weight > 0}
    weight_sum = sum(positive.values())
    if weight_sum == 0:
        return {}
    held = held or {}
    shares = {name: total * weight // weight_sum for name, weight in positive.items()}

    def rank(name: str) -> tuple[int, bool, str]:
        return -(total * positive[name] % weight_sum), held.get(name, 0) <= shares[name], name

    for name in sorted(positive, key=rank)[: total - sum(shares.values())]:
        shares[name] += 1
    return shares


def plan_rebalance(table: SlotTable, weights: dict[str, int]) -> tuple[SlotMove, ...]:
    """Plans the fewest moves that give each upstream its share of the slots.

    Args:
        table: Slot table of the service.
        weights: Weight by upstream of the service. An upstream that is absent or has weight 0
            loses all its slots.

    Returns:
        Moves ordered by target, with ascending slots. If no weight is positive, every slot
        moves to the empty name.
    """
    owned = _slots_by_upstream(table)
    shares = apportion_slots(weights, {name: len(slots) for name, slots in owned.items()})
    if not shares:
        return _order_moves({"": [slot for name, slots in owned.items() if name for slot in slots]})
    released: list[int] = []
    for name in sorted(owned):
        # The highest slots are released, so that an upstream keeps the same slots over time.
        released.extend(owned[name][shares.get(name, 0) :])
    released.sort()
    moves: dict[str, list[int]] = {}
    for name in sorted(shares):
        wanted = max(0, shares[name] - len(owned.get(name, ())))
        moves[name] = released[:wanted]
        released = released[wanted:]
    return _order_moves(moves)


def plan_rebalance_step(
    table: SlotTable, weights: dict[str, int], limits: dict[str, int]
) -> tuple[SlotMove, ...]:
    """Plans one step towards the shares of `plan_rebalance`.

    An upstream that warms up, or the upstreams of a data centre that returns, get their slots
    in several steps: call again with the table after each step until the result is empty.

    Args:
        table: Slot table of the service.
        weights: Weight by upstream at the end of all steps.
        limits: Largest number of slots that an upstream may gain in this step, for the
            upstreams that must not get all at once.

    Returns:
        Moves ordered by target. A slot whose current upstream must lose all its slots moves in
        any case: above the limits it goes to an upstream without a limit. If every upstream
        has a limit it goes to one of them, because a drain must end and the caps of cold
        upstreams still apply.
    """
    moves: dict[str, list[int]] = {}
    deferred: list[int] = []
    for move in plan_rebalance(table, weights):
        urgent = [slot for slot in move.slots if _must_leave(table, slot, weights)]
        others = [slot for slot in move.slots if not _must_leave(table, slot, weights)]
        limit = limits.get(move.target, len(move.slots))
        moves[move.target] = (urgent + others)[:limit]
        deferred.extend(urgent[limit:])
    shares = apportion_slots(weights)
    takers = [name for name in shares if name not in limits] or list(shares)
    load = {name: len(slots) for name, slots in _slots_by_upstream(table).items()}
    for name in takers:
        load[name] = load.get(name, 0) + len(moves.get(name, ()))
    for slot in sorted(deferred):
        name = min(takers, key=lambda taker: (load[taker] / max(1, shares[taker]), taker))
        moves.setdefault(name, []).append(slot)
        load[name] += 1
    return _order_moves(moves)


def _must_leave(table: SlotTable, slot: int, weights: dict[str, int]) -> bool:
    return weights.get(current_upstream(table, slot), 0) <= 0


def _slots_by_upstream(table: SlotTable) -> dict[str, list[int]]:
    owned: dict[str, list[int]] = {}
    for slot in range(len(table.bases)):
        owned.setdefault(current_upstream(table, slot), []).append(slot)
    return owned


def _order_moves(moves: dict[str, list[int]]) -> tuple[SlotMove, ...]:
    return tuple(
        SlotMove(target=name, slots=tuple(sorted(slots)))
        for name, slots in sorted(moves.items())
        if slots
    )
