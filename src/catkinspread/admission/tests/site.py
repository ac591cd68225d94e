"""A route and a state of a deployment, for tests."""

from catkinspread.deployment import (
    DeploymentState,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    ServiceShare,
    UpstreamRecord,
)

START_MS = 1_800_000_000_000
SERVICE = "pages"
CONNECTIONS_MAX = 64
CONNECTIONS_PER_SLOT = 32
COLD_RATE_PER_S = 4.0


def build_route(
    name: str = "front",
    shares: tuple[ServiceShare, ...] = (ServiceShare(SERVICE, 1.0),),
    priority: int = 1,
    timeout_ms: int = 3_000,
) -> Route:
    """Returns a route."""
    address = ServiceAddress(1, 80)
    return Route(name, address, shares, RequestKind.IDEMPOTENT, timeout_ms, priority)


ROUTE = build_route()


def build_state(
    upstreams_by_data_centre: dict[str, int], work_slots: int = 2, cold_remaining_ms: int = 0
) -> DeploymentState:
    """Returns a state with upstreams of SERVICE, named `DATA_CENTRE-NUMBER`."""
    state = DeploymentState(flow_lifetime_max_ms=60_000)
    connections_max = max(CONNECTIONS_MAX, CONNECTIONS_PER_SLOT * work_slots)
    limits = ServiceLimits(SERVICE, COLD_RATE_PER_S, connections_max)
    state.put_configuration(RoutingConfiguration(1, (ROUTE,), (limits,), 15_000))
    for data_centre, count in upstreams_by_data_centre.items():
        for number in range(count):
            record = UpstreamRecord(
                f"{data_centre}-{number}",
                1,
                SERVICE,
                data_centre,
                f"10.9.0.{number}",
                80,
                work_slots,
                False,
                cold_remaining_ms,
                1,
            )
            state.put_upstream(record, START_MS)
    return state
