"""The promises that are checked while a soak runs, from what callers and upstreams see."""

import collections

import msgspec

from catkinspread.deployment import RoutingConfiguration, ServiceAddress
from catkinspread.soak.calm import STORE, CalmBook

# Bounds of the users' site files.
STABLE_MS = 4_000
DRAIN_MS = 3_000
EVACUATE_MS = 5_000
CONFIGURATION_MS = 3_000
DOWNGRADE_SLACK_MS = 250
STRAY_MS = 2_000
STRAY_PACKETS = 3
COLD_OVERAGE = 1.5
COLD_SLACK = 5
_WINDOW_MS = 1_000


class Violation(msgspec.Struct, frozen=True):
    """A broken promise.

    Attributes:
        promise: Which one.
        at_ms: When it was seen, in ms since the run began.
        detail: What was seen.
    """

    promise: str
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


class PromiseBook:
    """Judges what is seen and keeps the violations.

    Args:
        calm: Which parts are disturbed.
        started_ms: Begin of the run.

    Attributes:
        violations: What was broken so far.
    """

    __slots__ = (
        "_calm",
        "_cold_openings",
        "_effects",
        "_runs",
        "_started_ms",
        "_strays",
        "_versions",
        "violations",
    )

    def __init__(self, calm: CalmBook, started_ms: int) -> None:
        self._calm = calm
        self._started_ms = started_ms
        self._versions: list[_Version] = []
        self._effects: dict[tuple[str, int], list[tuple[int, int]]] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._strays: dict[object, list[int]] = {}
        self._cold_openings: dict[str, collections.deque[int]] = {}
        self.violations: list[Violation] = []

    def break_promise(self, promise: str, now_ms: int, detail: str) -> None:
        """Notes a violation."""
        self.violations.append(Violation(promise, now_ms - self._started_ms, detail))

    def put_configuration(self, configuration: RoutingConfiguration, now_ms: int) -> None:
        """Notes that a configuration was acknowledged."""
        if self._versions:
            self._versions[-1].replaced_at_ms = now_ms
        services = {
            route.address: tuple(share.service for share in route.shares if share.weight > 0)
            for route in configuration.routes
        }
        self._versions.append(_Version(configuration, services))

    def judge_reset(self, owner: str, detail: str, now_ms: int) -> None:
        """Checks that an instance resets an open flow only if its upstream was disturbed."""
        if self._calm.is_stable(now_ms, owner):
            self.break_promise("flow", now_ms, detail)

    def judge_service(self, opening: Opening, service: str) -> None:
        """Checks that an opening packet may reach a service under some version that holds."""
        allowing = [
            version
            for version in self._versions
            if service in version.services.get(opening.address, ())
        ]
        if not allowing:
            self.break_promise("route", opening.arrived_at_ms, f"{opening} at {service}")
        elif not any(self._is_in_force(version, opening) for version in allowing):
            self.break_promise("configuration", opening.arrived_at_ms, f"{opening} at {service}")
        else:
            self._judge_regress(opening, [v.configuration.version for v in allowing])

    def _is_in_force(self, version: _Version, opening: Opening) -> bool:
        if version.replaced_at_ms is None:
            return True
        limit_ms = self._compute_limit_ms(version.replaced_at_ms, CONFIGURATION_MS, opening)
        return limit_ms is None or opening.sent_at_ms <= limit_ms

    def _judge_regress(self, opening: Opening, versions: list[int]) -> None:
        process = (opening.instance, opening.incarnation)
        seen = self._effects.setdefault(process, [])
        floors = [
            version for version, at_ms in seen if opening.sent_at_ms > at_ms + DOWNGRADE_SLACK_MS
        ]
        if floors and max(versions) < max(floors):
            detail = f"{opening} under {max(versions)} after {max(floors)}"
            self.break_promise("regress", opening.arrived_at_ms, detail)
        if not seen or min(versions) > seen[-1][0]:
            seen.append((min(versions), opening.arrived_at_ms))

    def judge_bound(self, promise: str, since_ms: int, bound_ms: int, opening: Opening) -> None:
        """Checks that an opening packet was not sent later than a bound after a change.

        Args:
            promise: Name of the promise.
            since_ms: When the change was acknowledged.
            bound_ms: Time until it is in force.
            opening: The packet.
        """
        limit_ms = self._compute_limit_ms(since_ms, bound_ms, opening)
        if limit_ms is not None and opening.arrived_at_ms > limit_ms:
            late_ms = opening.arrived_at_ms - limit_ms
            self.break_promise(promise, opening.arrived_at_ms, f"{opening} is {late_ms} ms late")

    def _compute_limit_ms(self, since_ms: int, bound_ms: int, opening: Opening) -> int | None:
        """Returns the end of a bound; None while the instance or the store is disturbed."""
        stable_ms = self._calm.find_stable_since_ms(opening.instance, STORE)
        return None if stable_ms is None else max(since_ms, stable_ms) + bound_ms

    def judge_cold(self, upstream: str, rate_per_s: float, opening: Opening) -> None:
        """Counts a flow that was opened to a cold upstream."""
        times = self._cold_openings.setdefault(upstream, collections.deque())
        times.append(opening.arrived_at_ms)
        while times[0] <= opening.arrived_at_ms - _WINDOW_MS:
            times.popleft()
        if len(times) > rate_per_s * COLD_OVERAGE + COLD_SLACK:
            detail = f"{len(times)} flows in a second at {upstream}"
            self.break_promise("cold", opening.arrived_at_ms, detail)

    def note_run(self, request_id: str, may_repeat: bool, now_ms: int) -> None:
        """Notes that an upstream began to work on a request."""
        self._runs[request_id] += 1
        if self._runs[request_id] > 1 and not may_repeat:
            self.break_promise("at_most_once", now_ms, f"{request_id} ran again")

    def judge_refusal(self, request_id: str, now_ms: int) -> None:
        """Checks that a request which was refused as not run has not run."""
        if self._runs[request_id]:
            self.break_promise("refusal", now_ms, f"{request_id} was refused but ran")

    def judge_stray(self, flow: object, owner: str, instance: str, now_ms: int) -> None:
        """Notes a packet of an open flow at an upstream that is not its own.

        The upstream answers it with a reset, so one packet through a calm instance is enough.
        """
        if self._calm.is_stable(now_ms, instance, owner):
            self.break_promise("flow", now_ms, f"{flow} of {owner} went astray through {instance}")
        times = self._strays.setdefault(flow, [])
        times.append(now_ms)
        is_lost = len(times) >= STRAY_PACKETS and times[-1] - times[0] >= STRAY_MS
        if is_lost and self._calm.is_stable(now_ms, instance):
            self.break_promise("flow", now_ms, f"{flow} of {owner} is lost to {instance}")

    def note_at_home(self, flow: object) -> None:
        """Notes a packet of a flow at its own upstream."""
        self._strays.pop(flow, None)
