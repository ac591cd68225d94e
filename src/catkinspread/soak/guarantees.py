"""The guarantees that are checked while a soak runs, from what callers and upstreams see."""

import collections

import msgspec

from catkinspread.deployment import RoutingConfiguration, ServiceAddress
from catkinspread.soak.disturbances import STORE, DisturbanceTracker

# Bounds of the users' site files.
STABLE_MS = 4_000
DRAIN_MS = 3_000
EVACUATE_MS = 5_000
CONFIGURATION_MS = 3_000
DOWNGRADE_SLACK_MS = 250
MISROUTED_MS = 2_000
MISROUTED_PACKETS = 3
COLD_OVERAGE = 1.5
COLD_SLACK = 5
_WINDOW_MS = 1_000


class Violation(msgspec.Struct, frozen=True):
    """A violation of a guarantee.

    Attributes:
        guarantee: Name of the guarantee.
        at_ms: When it was seen, in ms since the run began.
        detail: What was seen.
    """

    guarantee: str
    at_ms: int
    detail: str


class Opening(msgspec.Struct, frozen=True):
    """An opening packet that an upstream took.

    Attributes:
        address: Address that the caller opened the flow to.
        sent_at_ms: When the caller sent this copy.
        arrived_at_ms: When the upstream took it.
        instance: Name of the instance that forwarded it.
        incarnation: Process of that instance.
    """

    address: ServiceAddress
    sent_at_ms: int
    arrived_at_ms: int
    instance: str
    incarnation: int


class _Version(msgspec.Struct):
    """A configuration from its acknowledgement until the next one's."""

    configuration: RoutingConfiguration
    services: dict[ServiceAddress, tuple[str, ...]]
    replaced_at_ms: int | None = None


class GuaranteeChecker:
    """Checks what callers and upstreams see and collects the violations.

    Args:
        disturbances: Which parts are disturbed.
        started_ms: Begin of the run.

    Attributes:
        violations: Violations so far.
    """

    __slots__ = (
        "_cold_openings",
        "_disturbances",
        "_effects",
        "_misrouted_at_ms",
        "_runs",
        "_started_ms",
        "_versions",
        "violations",
    )

    def __init__(self, disturbances: DisturbanceTracker, started_ms: int) -> None:
        self._disturbances = disturbances
        self._started_ms = started_ms
        self._versions: list[_Version] = []
        self._effects: dict[tuple[str, int], list[tuple[int, int]]] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._misrouted_at_ms: dict[object, list[int]] = {}
        self._cold_openings: dict[str, collections.deque[int]] = {}
        self.violations: list[Violation] = []

    def report_violation(self, guarantee: str, now_ms: int, detail: str) -> None:
        """Adds a violation."""
        self.violations.append(Violation(guarantee, now_ms - self._started_ms, detail))

    def put_configuration(self, configuration: RoutingConfiguration, now_ms: int) -> None:
        """Records that a configuration was acknowledged."""
        if self._versions:
            self._versions[-1].replaced_at_ms = now_ms
        services = {
            route.address: tuple(share.service for share in route.shares if share.weight > 0)
            for route in configuration.routes
        }
        self._versions.append(_Version(configuration, services))

    def check_reset(self, owner: str, detail: str, now_ms: int) -> None:
        """Checks that an instance resets an open flow only if its upstream was disturbed."""
        if self._disturbances.is_stable(now_ms, owner):
            self.report_violation("flow", now_ms, detail)

    def check_service(self, opening: Opening, service: str) -> None:
        """Checks that an opening packet may reach a service under some version that holds."""
        allowing = [
            version
            for version in self._versions
            if service in version.services.get(opening.address, ())
        ]
        if not allowing:
            self.report_violation("route", opening.arrived_at_ms, f"{opening} at {service}")
        elif not any(self._is_in_force(version, opening) for version in allowing):
            self.report_violation("configuration", opening.arrived_at_ms, f"{opening} at {service}")
        else:
            self._check_regress(opening, [v.configuration.version for v in allowing])

    def _is_in_force(self, version: _Version, opening: Opening) -> bool:
        if version.replaced_at_ms is None:
            return True
        limit_ms = self._compute_limit_ms(version.replaced_at_ms, CONFIGURATION_MS, opening)
        return limit_ms is None or opening.sent_at_ms <= limit_ms

    def _check_regress(self, opening: Opening, versions: list[int]) -> None:
        process = (opening.instance, opening.incarnation)
        seen = self._effects.setdefault(process, [])
        floors = [
            version for version, at_ms in seen if opening.sent_at_ms > at_ms + DOWNGRADE_SLACK_MS
        ]
        if floors and max(versions) < max(floors):
            detail = f"{opening} under {max(versions)} after {max(floors)}"
            self.report_violation("regress", opening.arrived_at_ms, detail)
        if not seen or min(versions) > seen[-1][0]:
            seen.append((min(versions), opening.arrived_at_ms))

    def check_bound(self, guarantee: str, since_ms: int, bound_ms: int, opening: Opening) -> None:
        """Checks that an opening packet was not sent later than a bound after a change.

        Args:
            guarantee: Name of the guarantee.
            since_ms: When the change was acknowledged.
            bound_ms: Time until it is in force.
            opening: The packet.
        """
        limit_ms = self._compute_limit_ms(since_ms, bound_ms, opening)
        if limit_ms is not None and opening.arrived_at_ms > limit_ms:
            late_ms = opening.arrived_at_ms - limit_ms
            self.report_violation(
                guarantee, opening.arrived_at_ms, f"{opening} is {late_ms} ms late"
            )

    def _compute_limit_ms(self, since_ms: int, bound_ms: int, opening: Opening) -> int | None:
        """Returns the end of a bound; None while the instance or the store is disturbed."""
        stable_ms = self._disturbances.find_stable_since_ms(opening.instance, STORE)
        return None if stable_ms is None else max(since_ms, stable_ms) + bound_ms

    def check_cold(self, upstream: str, rate_per_s: float, opening: Opening) -> None:
        """Counts a flow that was opened to a cold upstream."""
        times = self._cold_openings.setdefault(upstream, collections.deque())
        times.append(opening.arrived_at_ms)
        while times[0] <= opening.arrived_at_ms - _WINDOW_MS:
            times.popleft()
        if len(times) > rate_per_s * COLD_OVERAGE + COLD_SLACK:
            detail = f"{len(times)} flows in a second at {upstream}"
            self.report_violation("cold", opening.arrived_at_ms, detail)

    def record_run(self, request_id: str, may_repeat: bool, now_ms: int) -> None:
        """Records that an upstream began to work on a request."""
        self._runs[request_id] += 1
        if self._runs[request_id] > 1 and not may_repeat:
            self.report_violation("at_most_once", now_ms, f"{request_id} ran again")

    def check_refusal(self, request_id: str, now_ms: int) -> None:
        """Checks that a request which was refused as not run has not run."""
        if self._runs[request_id]:
            self.report_violation("refusal", now_ms, f"{request_id} was refused but ran")

    def check_misrouted(self, flow: object, owner: str, instance: str, now_ms: int) -> None:
        """Checks a packet of an open flow at an upstream that does not hold the flow.

        The upstream answers it with a reset, so one packet through an undisturbed instance is a violation.
        """
        if self._disturbances.is_stable(now_ms, instance, owner):
            self.report_violation("flow", now_ms, f"{flow} of {owner} was misrouted by {instance}")
        times = self._misrouted_at_ms.setdefault(flow, [])
        times.append(now_ms)
        is_lost = len(times) >= MISROUTED_PACKETS and times[-1] - times[0] >= MISROUTED_MS
        if is_lost and self._disturbances.is_stable(now_ms, instance):
            self.report_violation(
                "flow", now_ms, f"{flow} of {owner} is misrouted for good by {instance}"
            )

    def record_delivery(self, flow: object) -> None:
        """Records that a packet of a flow reached its own upstream."""
        self._misrouted_at_ms.pop(flow, None)
