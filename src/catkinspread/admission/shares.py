"""Division of the room of a service among its routes."""

from collections.abc import Iterable, Sequence

from catkinspread.admission.types import RouteDemand

# Routes of one priority whose work per request differs by less than this factor get the same share.
# Learned work varies by about 10%; without the margin, two routes with nearly equal work would
# swap places, and a caller would be admitted or refused depending on the instance.
SIMILAR_WORK_FACTOR = 1.1


def divide_room(
    room_work_ms_per_s: float, demands: Iterable[RouteDemand], minimum_share: float
) -> dict[str, float]:
    """Returns the share of the offered work of each route that is admitted, from 0 to 1.

    Routes are served by priority, and within a priority by ascending work per request, until the
    room is used up. The committed work of the same and of higher priorities is subtracted first,
    that of lower ones is not: otherwise open flows of a lower priority, which cannot be refused,
    would turn away a higher one. The lowest priority that offers work keeps a minimum, in which its
    committed work counts; only this minimum goes before higher priorities. Demands of one route for
    the same service are added up.

    Args:
        room_work_ms_per_s: Room of the service, in milliseconds of a work slot per second.
        demands: Demand for the service by route.
        minimum_share: Share of the room that the lowest priority keeps.
    """
    merged = _merge_by_route(demands)
    asking = [demand for demand in merged if demand.offered_work_ms_per_s > 0]
    shares = {demand.route: 1.0 for demand in merged}
    if not asking:
        return shares
    lowest = max(demand.priority for demand in asking)
    lowest_committed = sum(d.committed_work_ms_per_s for d in merged if d.priority == lowest)
    lowest_offered = sum(d.offered_work_ms_per_s for d in asking if d.priority == lowest)
    minimum = minimum_share * room_work_ms_per_s - lowest_committed
    reserved = min(max(0.0, minimum), lowest_offered)
    used = 0.0
    for group in _group_in_order(asking):
        priority = group[0].priority
        committed = sum(d.committed_work_ms_per_s for d in merged if d.priority <= priority)
        kept = 0.0 if priority == lowest else reserved
        remaining = max(reserved - kept, room_work_ms_per_s - committed - kept - used)
        offered = sum(demand.offered_work_ms_per_s for demand in group)
        admitted = min(offered, max(0.0, remaining))
        used += admitted
        if priority == lowest:
            reserved = max(0.0, reserved - admitted)
        for demand in group:
            shares[demand.route] = admitted / offered
    return shares


def _merge_by_route(demands: Iterable[RouteDemand]) -> list[RouteDemand]:
    merged: dict[str, RouteDemand] = {}
    for demand in demands:
        other = merged.get(demand.route)
        if other is not None:
            demand = RouteDemand(
                demand.route,
                demand.service,
                min(demand.priority, other.priority),
                max(demand.work_ms, other.work_ms),
                demand.offered_work_ms_per_s + other.offered_work_ms_per_s,
                demand.committed_work_ms_per_s + other.committed_work_ms_per_s,
            )
        merged[demand.route] = demand
    return list(merged.values())


def _group_in_order(demands: Sequence[RouteDemand]) -> list[list[RouteDemand]]:
    """Returns the demands in the order in which they are served.

    Those of one group have the same priority and similar work, and get the same share.
    """
    groups: list[list[RouteDemand]] = []
    for demand in sorted(demands, key=lambda d: (d.priority, d.work_ms, d.route)):
        first = groups[-1][0] if groups else None
        if (
            first is not None
            and first.priority == demand.priority
            and demand.work_ms < SIMILAR_WORK_FACTOR * first.work_ms
        ):
            groups[-1].append(demand)
        else:
            groups.append([demand])
    return groups
