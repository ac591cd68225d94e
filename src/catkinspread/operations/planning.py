"""Says what the effects of a command would move."""

from collections.abc import Mapping

import msgspec

from catkinspread.configuration import (
    DataCentreSet,
    Effect,
    SlotsMoved,
    UpstreamRemoved,
    UpstreamSet,
)
from catkinspread.model import (
    Configuration,
    DataCentre,
    DataCentreState,
    Upstream,
    UpstreamState,
)
from catkinspread.operations.replies import Reply
from catkinspread.routing import current_upstream

_NO_UPSTREAM = "(none)"


class PlannedMove(msgspec.Struct, frozen=True, order=True):
    """Slots of a service that go from one upstream to another.

    Attributes:
        service: Name of the service.
        source: Upstream that new flows get now; empty if none.
        target: Upstream that new flows would get; empty if none.
        slots: Number of slots.
        flows: Estimated open flows in these slots; negative if not known.
    """

    service: str
    source: str
    target: str
    slots: int
    flows: float


def summarise_moves(
    configuration: Configuration,
    effects: tuple[Effect, ...],
    flow_counts: Mapping[str, Mapping[str, int]],
) -> list[PlannedMove]:
    """Returns the moves of effects, summed by service, source and target.

    Args:
        configuration: State before the effects.
        effects: What a command compiled to.
        flow_counts: Open flows by upstream, by service, where they are known. Hashing spreads
            the flows of an upstream evenly over its slots.
    """
    totals: dict[tuple[str, str, str], int] = {}
    held: dict[tuple[str, str], int] = {}
    for effect in effects:
        if not isinstance(effect, SlotsMoved):
            continue
        table = configuration.slot_tables.get(effect.service)
        for move in effect.moves:
            for slot in move.slots:
                source = current_upstream(table, slot) if table else ""
                key = effect.service, source, move.target
                totals[key] = totals.get(key, 0) + 1
    for service in {service for service, _, _ in totals}:
        table = configuration.slot_tables.get(service)
        for slot in range(len(table.bases)) if table else ():
            key = service, current_upstream(table, slot)
            held[key] = held.get(key, 0) + 1
    planned = []
    for (service, source, target), slots in sorted(totals.items()):
        flows = -1.0 if source else 0.0
        counts = flow_counts.get(service, {})
        if source in counts:
            flows = counts[source] * slots / held[service, source]
        planned.append(PlannedMove(service, source, target, slots, flows))
    return planned


def describe_plan(
    configuration: Configuration,
    effects: tuple[Effect, ...],
    flow_counts: Mapping[str, Mapping[str, int]],
    notes: tuple[str, ...] = (),
) -> Reply:
    """Returns the reply to a plan query, a dry run or a command.

    Args:
        configuration: State before the effects.
        effects: What the command compiled to.
        flow_counts: Open flows by upstream, by service, where they are known.
        notes: Sentences to put first.
    """
    moves = summarise_moves(configuration, effects, flow_counts)
    if not moves:
        notes = (*notes, "no slots move", *_describe_consequences(effects))
        return Reply(version=configuration.version, notes=notes)
    rows = tuple(
        (
            move.service,
            move.source or _NO_UPSTREAM,
            move.target or _NO_UPSTREAM,
            move.slots,
            round(move.flows) if move.flows >= 0 else "not known",
        )
        for move in moves
    )
    flows = [move.flows for move in moves]
    total = "an unknown number of" if any(count < 0 for count in flows) else str(round(sum(flows)))
    notes = (
        *notes,
        f"{sum(move.slots for move in moves)} slots move; they have {total} open flows",
        *_describe_consequences(effects),
    )
    return Reply(
        version=configuration.version,
        columns=("service", "from", "to", "slots", "flows"),
        rows=rows,
        notes=notes,
    )


def _describe_consequences(effects: tuple[Effect, ...]) -> list[str]:
    notes: list[str] = []
    removed = {effect.name for effect in effects if isinstance(effect, UpstreamRemoved)}
    for effect in effects:
        match effect:
            case DataCentreSet(DataCentre(name=name, state=DataCentreState.OUT)):
                return [f"open flows to upstreams in {name!r} are given up"]
            case UpstreamSet(Upstream(name=name, state=UpstreamState.REMOVING)):
                when = "at once" if name in removed else "when nothing points at it any more"
                notes.append(f"upstream {name!r} is removed {when}")
    if any(isinstance(effect, SlotsMoved) for effect in effects):
        notes.append(
            "open flows stay on their upstream until they end; new flows go to the new one"
        )
    return notes
