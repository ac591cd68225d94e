"""The two reference deployments as configurations for benches."""

import msgspec

from catkinspread.configuration import (
    ChangeEntry,
    DataCentreSet,
    Effect,
    ServiceSet,
    SlotMove,
    SlotsMoved,
    UpstreamSet,
)
from catkinspread.emulator import deployments as reference_deployments
from catkinspread.model import (
    Configuration,
    DataCentre,
    DataCentreState,
    Endpoint,
    OwnerGroup,
    Service,
    Upstream,
    UpstreamState,
)
from catkinspread.routing import plan_rebalance, plan_rebalance_step


class Deployment(msgspec.Struct, frozen=True):
    """Names and sizes of a deployment.

    Attributes:
        name: Name of the deployment.
        region: Region of its data centres.
        data_centres: Names of the data centres; each has three instances.
        services: Number of upstreams by service.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: dict[str, int]


def _take_sizes(name: str, reference: reference_deployments.Deployment) -> Deployment:
    """Returns the names and sizes of a reference deployment."""
    services = {service.name: service.upstream_count for service in reference.services}
    return Deployment(name, reference.region, reference.data_centres, services)


KALAHARI = _take_sizes("kalahari", reference_deployments.KALAHARI)
MIDLAND = _take_sizes("midland", reference_deployments.CONSORTIUM)
DEPLOYMENTS = (KALAHARI, MIDLAND)


def write_entry(effects: tuple[Effect, ...], written_at_ms: int) -> ChangeEntry:
    """Returns an entry with effects for a bench."""
    return ChangeEntry("", "bench", "", "", written_at_ms, 0, effects)


def name_upstream(service: str, number: int) -> str:
    """Returns the name of an upstream of a service, counted from 1."""
    return f"{service}-{number}"


def build_upstream(deployment: Deployment, service: str, number: int) -> Upstream:
    """Returns an upstream; the data centres take turns."""
    data_centre = deployment.data_centres[(number - 1) % len(deployment.data_centres)]
    port = 10_000 + 100 * list(deployment.services).index(service) + number
    endpoint = Endpoint("127.0.0.1", port)
    return Upstream(name_upstream(service, number), service, data_centre, endpoint)


def start_effects(deployment: Deployment) -> tuple[Effect, ...]:
    """Returns the effects that create a deployment."""
    effects: list[Effect] = [
        DataCentreSet(DataCentre(name, deployment.region)) for name in deployment.data_centres
    ]
    for index, (service, count) in enumerate(deployment.services.items()):
        effects.append(ServiceSet(Service(service, Endpoint("127.0.0.1", 9_000 + index))))
        names = [name_upstream(service, number + 1) for number in range(count)]
        effects.extend(
            UpstreamSet(build_upstream(deployment, service, number + 1)) for number in range(count)
        )
        slots: dict[str, list[int]] = {name: [] for name in names}
        for slot in range(1024):
            slots[names[slot % count]].append(slot)
        moves = tuple(SlotMove(name, tuple(slots[name])) for name in names)
        effects.append(SlotsMoved(service, moves, OwnerGroup(())))
    return tuple(effects)


def weights_of(configuration: Configuration, service: str) -> dict[str, int]:
    """Returns the weights of the upstreams of a service that take new flows."""
    return {
        upstream.name: upstream.weight
        for upstream in configuration.upstreams.values()
        if upstream.service == service
        and upstream.state is UpstreamState.ACTIVE
        and configuration.data_centres[upstream.data_centre].state is DataCentreState.IN
    }


def move_effects(
    configuration: Configuration,
    changed: dict[str, Upstream],
    data_centres: dict[str, DataCentre],
    group: OwnerGroup,
    limits: dict[str, int] | None = None,
) -> tuple[Effect, ...]:
    """Returns the effects of changed upstreams and data centres with their slot moves.

    Args:
        configuration: The configuration that the change is decided on.
        changed: New or changed upstreams by name.
        data_centres: Changed data centres by name.
        group: Owner group of the moved slots.
        limits: Largest number of slots gained in this entry by upstream, if limited.
    """
    after = msgspec.structs.replace(
        configuration,
        upstreams={**configuration.upstreams, **changed},
        data_centres={**configuration.data_centres, **data_centres},
    )
    effects: list[Effect] = [DataCentreSet(value) for value in data_centres.values()]
    effects.extend(UpstreamSet(upstream) for upstream in changed.values())
    for service, table in configuration.slot_tables.items():
        weights = weights_of(after, service)
        moves = (
            plan_rebalance(table, weights)
            if limits is None
            else plan_rebalance_step(table, weights, limits)
        )
        if moves:
            effects.append(SlotsMoved(service, moves, group))
    return tuple(effects)
