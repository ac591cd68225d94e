"""Metrics of room, demand and admission."""

from catkinspread.admission import AdmissionController, DemandMeter, RoomEstimator
from catkinspread.runtime.metrics import LabelledMetric

_MS_PER_S = 1_000


def list_admission_metrics(
    controller: AdmissionController,
    estimator: RoomEstimator,
    meter: DemandMeter,
    data_centre: str,
    now_ms: int,
) -> list[LabelledMetric]:
    """Returns the metrics.

    Room is listed only for services with demand, load or a limit, because a deployment may have
    1,000 services.

    Args:
        controller: Decides which new flows are admitted.
        estimator: Tells the room of services.
        meter: Demand of the callers of this instance.
        data_centre: Data centre of this instance.
        now_ms: Current time.
    """
    limited = {found.service: found.is_limited for found in controller.list_services()}
    demands = meter.list_demands(now_ms)
    services = {demand.service for demand in demands}
    services.update(estimator.list_loaded_services(now_ms))
    services.update(service for service, is_limited in limited.items() if is_limited)
    return [
        LabelledMetric(
            "admission_limited",
            "Whether new flows of the service may be refused for lack of room.",
            False,
            ("service",),
            {(service,): float(is_limited) for service, is_limited in limited.items()},
        ),
        *_list_route_metrics(controller, data_centre),
        LabelledMetric(
            "demand_slots",
            "Work slots that the callers of this instance ask for.",
            False,
            ("route", "service", "data_centre", "priority", "kind"),
            {
                (demand.route, demand.service, data_centre, str(demand.priority), kind): work
                / _MS_PER_S
                for demand in demands
                for kind, work in (
                    ("offered", demand.offered_work_ms_per_s),
                    ("committed", demand.committed_work_ms_per_s),
                )
            },
        ),
        *_list_room_metrics(estimator, sorted(services), now_ms),
    ]


def _list_route_metrics(controller: AdmissionController, data_centre: str) -> list[LabelledMetric]:
    routes = controller.list_routes()
    return [
        LabelledMetric(
            "admitted_share",
            "Share of the callers of the route that is admitted.",
            False,
            ("route",),
            {(found.route,): found.share for found in routes},
        ),
        LabelledMetric(
            "offered_flows",
            "New flows by what admission control decided.",
            True,
            ("route", "data_centre", "verdict"),
            {
                (found.route, data_centre, verdict.value): count
                for found in routes
                for verdict, count in found.counts.items()
            },
        ),
    ]


def _list_room_metrics(
    estimator: RoomEstimator, services: list[str], now_ms: int
) -> list[LabelledMetric]:
    rooms = [estimator.estimate(service, now_ms) for service in services]
    slots = {
        (service, data_centre): count
        for service in services
        for data_centre, count in estimator.list_slots(service, now_ms).items()
    }
    in_flight = {
        (service, data_centre): occupancy * count
        for (service, data_centre), count in slots.items()
        if (occupancy := estimator.find_occupancy(service, data_centre, now_ms)) is not None
    }
    return [
        LabelledMetric(
            "room_slots",
            "Work slots of the usable upstreams.",
            False,
            ("service", "data_centre"),
            slots,
        ),
        LabelledMetric(
            "room_in_flight",
            "Requests of all instances that the usable upstreams have not answered.",
            False,
            ("service", "data_centre"),
            in_flight,
        ),
        LabelledMetric(
            "room_age_seconds",
            "Age of the oldest summary that the room depends on.",
            False,
            ("service",),
            {(room.service,): room.age_ms / _MS_PER_S for room in rooms},
        ),
        LabelledMetric(
            "room_is_estimate",
            "Whether too few instances of the data centre have been heard from.",
            False,
            ("service",),
            {(room.service,): float(room.is_estimate) for room in rooms},
        ),
        LabelledMetric(
            "room_is_settling",
            "Whether callers return after a loss, so that no limit starts on this instance alone.",
            False,
            ("service",),
            {(room.service,): float(room.is_settling) for room in rooms},
        ),
    ]
