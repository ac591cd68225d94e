"""Decides which new flows are admitted while a service has too little room."""

import collections
import itertools
from collections.abc import Iterable
from typing import Protocol

import msgspec

from catkinspread.admission.caller_order import compute_position
from catkinspread.admission.route_level import RouteLevel
from catkinspread.admission.service_level import AdmissionChange, ServiceLevel
from catkinspread.admission.settings import AdmissionMode, AdmissionSettings
from catkinspread.admission.types import LIMITED_MAX, RoomView
from catkinspread.deployment import Route
from catkinspread.forwarding.admission_policy import AdmissionInputs, AdmissionVerdict

# Time for which a caller has waited when it sends the opening packet for the first, second and
# third time.
WAITED_MS = (0, 200, 600)
# Decisions are kept for the time in which a caller opens a flow, so that copies get the same one.
DECISION_LIFETIME_MS = 1_400
# Bounds the memory during a flood of opening packets, at about 200 bytes each.
DECISIONS_MAX = 50_000
# The room of a service without new flows on this instance for this long is not estimated, as no
# decision depends on it. With 960 services, estimates of all would take most of the CPU time.
IDLE_AFTER_MS = 10_000

# Reading a member from its enumeration takes longer than a call on Python 3.11.
_ADMITTED = AdmissionVerdict.ADMITTED


class DemandRecorder(Protocol):
    """Counts demand by route."""

    def record_opening(self, route: Route, now_ms: int) -> None:
        """Counts the first copy of an opening packet."""

    def record_request(self, route: Route, is_first: bool, now_ms: int) -> None:
        """Counts a forwarded request."""


class WorkRecorder(Protocol):
    """Learns the work of requests."""

    def record_response(
        self, route: Route, processing_ms: int, occupied: float, work_slots: int
    ) -> None:
        """Learns from an answered request."""


class RouteAdmission(msgspec.Struct, frozen=True):
    """What operators see of a route.

    Attributes:
        route: Name of the route.
        is_limited: Whether a service of the route is limited.
        share: Share of the callers that is admitted.
        counts: Number of new flows by verdict since the start. A flow that was admitted and whose
            later copy was too late counts under both verdicts.
    """

    route: str
    is_limited: bool
    share: float
    counts: dict[AdmissionVerdict, int]


class ServiceAdmission(msgspec.Struct, frozen=True):
    """What operators see of a service.

    Attributes:
        service: Name of the service.
        is_limited: Whether new flows may be refused.
        admitted_share: Share of the offered work that is admitted.
        last_change: The last reported change with its inputs; None if there was none.
    """

    service: str
    is_limited: bool
    admitted_share: float
    last_change: AdmissionChange | None


class AdmissionController:
    """Admits or refuses new flows by the room of their service; an `AdmissionPolicy`.

    Args:
        estimator: Tells the room of services.
        settings: Margins.
        meter: Counts demand.
        work: Learns the work of requests.
    """

    __slots__ = ("_decisions", "_estimator", "_levels", "_meter", "_routes", "_settings", "_work")

    def __init__(
        self,
        estimator: RoomView,
        settings: AdmissionSettings,
        meter: DemandRecorder,
        work: WorkRecorder,
    ) -> None:
        self._estimator = estimator
        self._settings = settings
        self._meter = meter
        self._work = work
        self._levels: dict[str, ServiceLevel] = {}
        self._routes: dict[str, RouteLevel] = {}
        # Latest decision by name of the route and address of the caller, with its time, in order of
        # time. It is kept for later copies of the opening packet.
        self._decisions: dict[tuple[str, int], tuple[AdmissionVerdict, int]] = {}

    def replace_routes(self, routes: Iterable[Route]) -> None:
        """Sets the routes of the configuration, which tell what services have admission control.

        Routes that remain keep their counts and services that remain their level. A route that is
        not among them is admitted and counted.
        """
        routes = list(routes)
        priorities: dict[str, set[int]] = collections.defaultdict(set)
        for route in routes:
            for share in route.shares:
                priorities[share.service].add(route.priority)
        mode = self._settings.mode
        self._levels = {
            service: self._levels.get(service) or ServiceLevel(service, self._settings)
            for service, found in priorities.items()
            if mode is AdmissionMode.ALWAYS or (mode is AdmissionMode.AUTO and len(found) > 1)
        }
        previous = self._routes
        self._routes = {}
        for route in routes:
            state = self._routes[route.name] = previous.get(route.name) or RouteLevel()
            state.levels = [
                (self._levels.get(share.service), share.weight) for share in route.shares
            ]
        for level in self._levels.values():
            level.priorities = {
                route.name: route.priority
                for route in routes
                if any(share.service == level.service for share in route.shares)
            }

    def update(self, now_ms: int) -> list[AdmissionChange]:
        """Computes the levels anew; to be called every 250 ms.

        Returns:
            Changes of the admission level to be logged, at most one per second for each service.
        """
        self._expire_decisions(now_ms)
        active: collections.Counter[ServiceLevel] = collections.Counter()
        for state in self._routes.values():
            count = state.take_demand_count()
            if state.openings != state.seen_openings:
                state.seen_openings = state.openings
                state.opened_at_ms = now_ms
            if state.openings and now_ms - state.opened_at_ms < IDLE_AFTER_MS:
                for level, _ in state.levels:
                    if level is not None:
                        active[level] += count
        changes = []
        for level in self._levels.values():
            if level not in active and not level.is_limited:
                continue
            room = self._estimator.estimate(level.service, now_ms)
            level.update(room, active[level], now_ms)
            change = level.find_change(now_ms)
            if change is not None:
                level.last_change = change
                changes.append(change)
        for name, state in self._routes.items():
            state.update(name, now_ms)
        return changes

    def list_limited_services(self) -> tuple[str, ...]:
        """Returns the services that are limited, at most LIMITED_MAX, to tell other instances."""
        limited = (level.service for level in self._levels.values() if level.is_limited)
        return tuple(itertools.islice(limited, LIMITED_MAX))

    def record_remote_limits(self, services: Iterable[str], now_ms: int) -> None:
        """Records which services another instance limits."""
        for service in services:
            level = self._levels.get(service)
            if level is not None:
                level.remote_limit_at_ms = now_ms

    def list_routes(self) -> list[RouteAdmission]:
        """Returns the admitted share and the counts of all routes."""
        return [
            RouteAdmission(
                name,
                state.share is not None,
                1.0 if state.share is None else state.share,
                state.count_verdicts(),
            )
            for name, state in self._routes.items()
        ]

    def list_services(self) -> list[ServiceAdmission]:
        """Returns the state of all services with admission control."""
        return [
            ServiceAdmission(
                level.service, level.is_limited, level.admitted_share, level.last_change
            )
            for level in self._levels.values()
        ]

    def decide(self, route: Route, caller_ip: int, copy: int, now_ms: int) -> AdmissionVerdict:
        """Decides about a new flow and counts it as demand; see `AdmissionPolicy`.

        A copy of an opening packet is no new demand. The decision about it is that about the first
        copy, unless it has become too late.
        """
        state = self._routes.get(route.name)
        if state is None:
            state = self._routes[route.name] = RouteLevel()
        if copy:
            return self._decide_copy(state, route, caller_ip, copy, now_ms)
        state.openings += 1
        if state.share is None:
            self._meter.record_opening(route, now_ms)
            return _ADMITTED
        verdict = self._decide_first(state, route, caller_ip, 0, now_ms)
        self._record_demand(state, route, verdict, now_ms)
        return verdict

    def record_request(self, route: Route, is_first: bool, now_ms: int) -> None:
        """Counts a request that was forwarded; see `AdmissionPolicy`."""
        self._meter.record_request(route, is_first, now_ms)

    def record_response(
        self, route: Route, processing_ms: int, occupied: float, work_slots: int
    ) -> None:
        """Learns from an answered request; see `AdmissionPolicy`.

        Nothing is learned about the work while a service is busy. The load that this instance sees
        is only a part then, so that the time in queues would count as work.
        """
        state = self._routes.get(route.name)
        if state is None or not state.is_busy:
            self._work.record_response(route, processing_ms, occupied, work_slots)
        # The service of a request is known only if the route has a single one.
        if state is not None and len(state.levels) == 1 and work_slots > 0:
            level, _ = state.levels[0]
            if level is not None:
                level.recent_occupancy.record(occupied / work_slots)

    def describe(self, route: Route) -> AdmissionInputs:
        """Returns the inputs of decisions about a route; see `AdmissionPolicy`.

        Of several services, the first limited one is described, otherwise the first one.
        """
        state = self._routes.get(route.name)
        levels = [] if state is None else [level for level, _ in state.levels if level is not None]
        level = next((level for level in levels if level.is_limited), None)
        share = 1.0 if state is None or state.share is None else state.share
        if level is None:
            return AdmissionInputs(route.shares[0].service, route.priority, share, 0.0)
        return AdmissionInputs(level.service, route.priority, share, level.occupancy)

    def _decide_first(
        self, state: RouteLevel, route: Route, caller_ip: int, waited_ms: int, now_ms: int
    ) -> AdmissionVerdict:
        """Decides about a flow without an earlier decision and keeps it for the copies."""
        if compute_position(caller_ip, now_ms - waited_ms) >= state.share:
            verdict = AdmissionVerdict.NO_ROOM
            state.no_room += 1
        elif _is_too_late(route, waited_ms + state.expected_ms):
            verdict = AdmissionVerdict.TOO_LATE
            state.too_late += 1
        else:
            verdict = AdmissionVerdict.ADMITTED
        self._remember(route, caller_ip, verdict, now_ms)
        return verdict

    def _decide_copy(
        self, state: RouteLevel, route: Route, caller_ip: int, copy: int, now_ms: int
    ) -> AdmissionVerdict:
        waited_ms = WAITED_MS[min(copy, len(WAITED_MS) - 1)]
        decision = self._decisions.get((route.name, caller_ip))
        if decision is not None:
            verdict = decision[0]
        elif state.share is None or now_ms - waited_ms < state.limited_since_ms:
            verdict = AdmissionVerdict.ADMITTED
        else:
            # The first copy was lost, or another instance got it.
            state.openings += 1
            state.uncounted += 1
            return self._decide_first(state, route, caller_ip, waited_ms, now_ms)
        if (
            verdict is AdmissionVerdict.ADMITTED
            and state.share is not None
            and _is_too_late(route, waited_ms + state.expected_ms)
        ):
            state.late_copies += 1
            verdict = AdmissionVerdict.TOO_LATE
            self._remember(route, caller_ip, verdict, now_ms)
        return verdict

    def _record_demand(
        self, state: RouteLevel, route: Route, verdict: AdmissionVerdict, now_ms: int
    ) -> None:
        """Counts an opening as demand.

        Of the openings that are refused for lack of room, only the estimated share of first
        attempts is counted, because the others are retries.
        """
        if verdict is not AdmissionVerdict.TOO_LATE:
            is_admitted = verdict is AdmissionVerdict.ADMITTED
            state.retries.record(is_admitted, state.share)
        state.first_attempts += (
            state.retries.estimate_first_share() if verdict is AdmissionVerdict.NO_ROOM else 1.0
        )
        if state.first_attempts >= 1:
            state.first_attempts -= 1
            self._meter.record_opening(route, now_ms)
        else:
            state.uncounted += 1

    def _remember(
        self, route: Route, caller_ip: int, verdict: AdmissionVerdict, now_ms: int
    ) -> None:
        key = (route.name, caller_ip)
        # Removed first, so that the decisions stay in order of time.
        self._decisions.pop(key, None)
        if len(self._decisions) < DECISIONS_MAX:
            self._decisions[key] = (verdict, now_ms)

    def _expire_decisions(self, now_ms: int) -> None:
        expired = []
        for key, (_, decided_at_ms) in self._decisions.items():
            if now_ms - decided_at_ms < DECISION_LIFETIME_MS:
                break
            expired.append(key)
        for key in expired:
            del self._decisions[key]


def _is_too_late(route: Route, total_ms: float) -> bool:
    """Whether the answer would come after the deadline; a route with a time-out of 0 has none."""
    return 0 < route.timeout_ms < total_ms
