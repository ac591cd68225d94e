"""Configurations of a given size, for benches."""

import random

from catkinspread.configuration import ChangeEntry, apply_entry
from catkinspread.configuration.effects import (
    DataCentreSet,
    Effect,
    ServiceSet,
    SlotMove,
    SlotsListed,
    SlotsMoved,
    UpstreamSet,
)
from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    DataCentre,
    Endpoint,
    InstanceIncarnation,
    OwnerGroup,
    Service,
    Upstream,
)

GROUP = OwnerGroup(tuple(InstanceIncarnation(f"dc-{i}-00{i}", 1_000_000) for i in (1, 2, 3)))


def make_entry(effects: tuple[Effect, ...], change_id: str = "change", previous: int = 0):
    """Returns an entry with given effects."""
    return ChangeEntry(change_id, "operator", "", "", 1_000_000, previous, effects)


def build_configuration(
    service_count: int, upstream_count: int, data_centre_count: int = 8
) -> Configuration:
    """Returns a configuration whose upstreams are spread evenly over the services."""
    configuration = Configuration()
    places = tuple(
        DataCentreSet(DataCentre(f"dc-{i + 1}", f"region-{i % 2 + 1}"))
        for i in range(data_centre_count)
    )
    configuration = apply_entry(configuration, 1, make_entry(places))
    for index in range(service_count):
        first = upstream_count * index // service_count
        last = upstream_count * (index + 1) // service_count
        effects = make_service_effects(index, range(first, last), data_centre_count)
        configuration = apply_entry(configuration, index + 2, make_entry(effects))
    return configuration


def make_service_effects(index: int, upstreams: range, data_centre_count: int = 8):
    """Returns the effects that create a service with its upstreams and slots."""
    service = Service(f"service-{index:04d}", Endpoint("10.200.0.1", 10_000 + index), "team")
    effects: list[Effect] = [ServiceSet(service)]
    for number in upstreams:
        effects.append(
            UpstreamSet(
                Upstream(
                    f"upstream-{number:05d}",
                    service.name,
                    f"dc-{number % data_centre_count + 1}",
                    Endpoint(f"10.201.{number // 250}.{number % 250}", 8_000),
                )
            )
        )
    names = [effect.upstream.name for effect in effects[1:]]
    slots = list(range(SLOT_COUNT))
    random.Random(index).shuffle(slots)
    moves = tuple(
        SlotMove(name, tuple(sorted(slots[position :: len(names)])))
        for position, name in enumerate(names)
    )
    effects.append(SlotsMoved(service.name, moves, GROUP))
    return tuple(effects)


def make_move(service: str, target: str, slots: tuple[int, ...]) -> SlotsMoved:
    """Returns a move of some slots of a service."""
    return SlotsMoved(service, (SlotMove(target, slots),), GROUP)


def make_listing(
    service: str, upstream: str, version: int, slots: tuple[int, ...], flow_count: int, seed: int
) -> SlotsListed:
    """Returns the end of a transition with exceptions, 9 bytes each when encoded."""
    rng = random.Random(seed)
    flows = tuple(
        sorted(rng.getrandbits(54) * SLOT_COUNT + rng.choice(slots) for _ in range(flow_count))
    )
    return SlotsListed(service, version, slots, {upstream: flows})
