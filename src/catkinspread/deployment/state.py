"""What an instance knows of the deployment at one moment.

The state only moves forward: a configuration with a lower version is ignored. Upstreams that
were removed stay known for a while, because flows that they still serve are forwarded.
"""

import msgspec

from catkinspread.deployment.records import (
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    UpstreamRecord,
)
from catkinspread.hashing import hash_text

# Entries that lapsed while the source was away return within 2 s if their upstream lives.
LAPSE_GRACE_MS = 2_300
# Tokens have 32 bits in packets.
TOKEN_MAX = 0xFFFF_FFFF
_SERVICE_UNKNOWN = ServiceLimits(name="", cold_rate_per_s=0.0, connections_max=1)


def compute_token(name: str) -> int:
    """Returns the 32-bit number that stands for an upstream in the packets of a flow.

    It depends on the name alone, so every instance computes the same one. 0 means no upstream.
    """
    return hash_text(name) & TOKEN_MAX or 1


class KnownUpstream:
    """An upstream as this instance sees it.

    Attributes:
        record: Latest report.
        token: Number that stands for it in packets.
        cold_until_ms: It is cold before this time.
        missing_since_ms: Since when its entry is missing; None while it is there.
        is_removed: Whether it takes no new flows because its entry is gone.
    """

    __slots__ = ("cold_until_ms", "is_removed", "missing_since_ms", "record", "token")

    def __init__(self, record: UpstreamRecord, now_ms: int) -> None:
        self.record = record
        self.token = compute_token(record.name)
        self.cold_until_ms = now_ms + record.cold_remaining_ms
        self.missing_since_ms: int | None = None
        self.is_removed = False

    def report(self, record: UpstreamRecord, now_ms: int) -> None:
        """Takes a newer report of the same upstream."""
        self.record = record
        self.cold_until_ms = now_ms + record.cold_remaining_ms
        self.missing_since_ms = None
        self.is_removed = False


class ApplyOutcome(msgspec.Struct, frozen=True):
    """What a change did to the state.

    Attributes:
        is_changed: Whether anything that decisions depend on is different now.
        detail: The difference in a few words, for the log.
    """

    is_changed: bool
    detail: str = ""


_UNCHANGED = ApplyOutcome(False)


class DeploymentState:
    """Routes, upstreams and evacuated data centres.

    Args:
        flow_lifetime_max_ms: Longest life of a flow; a removed upstream is known this long.

    Attributes:
        configuration: Configuration in force; None before the first.
        has_upstreams: Whether the list of upstreams was read at least once.
    """

    __slots__ = (
        "_by_service",
        "_by_token",
        "_evacuated",
        "_flow_lifetime_max_ms",
        "_routes",
        "_services",
        "_upstreams",
        "configuration",
        "has_evacuations",
        "has_upstreams",
    )

    def __init__(self, flow_lifetime_max_ms: int) -> None:
        self._flow_lifetime_max_ms = flow_lifetime_max_ms
        self.configuration: RoutingConfiguration | None = None
        self.has_upstreams = False
        self.has_evacuations = False
        self._routes: dict[ServiceAddress, Route] = {}
        self._services: dict[str, ServiceLimits] = {}
        self._upstreams: dict[str, KnownUpstream] = {}
        self._by_token: dict[int, KnownUpstream] = {}
        self._by_service: dict[str, list[KnownUpstream]] = {}
        self._evacuated: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Whether every kind of record was read at least once."""
        return self.configuration is not None and self.has_upstreams and self.has_evacuations

    def find_route(self, address: ServiceAddress) -> Route | None:
        """Returns the route of an address; None if there is none."""
        return self._routes.get(address)

    def find_service(self, name: str) -> ServiceLimits:
        """Returns the limits of a service; those of an unknown service allow nothing cold."""
        return self._services.get(name, _SERVICE_UNKNOWN)

    def list_services(self) -> tuple[str, ...]:
        """Returns the names of all services of the configuration."""
        return tuple(self._services)

    def find_upstream_by_token(self, token: int) -> KnownUpstream | None:
        """Returns the upstream that a token stands for, also if it was removed."""
        return self._by_token.get(token)

    def list_upstreams(self) -> tuple[KnownUpstream, ...]:
        """Returns all upstreams that are known, removed ones included."""
        return tuple(self._upstreams.values())

    def list_evacuated(self) -> tuple[str, ...]:
        """Returns the names of the evacuated data centres in order."""
        return tuple(sorted(self._evacuated))

    def list_open_to_new_flows(self, service: str) -> list[KnownUpstream]:
        """Returns the upstreams of a service that may take new flows, cold ones included."""
        found = self._by_service.get(service)
        if found is None:
            found = [
                upstream
                for upstream in self._upstreams.values()
                if upstream.record.service == service and self._takes_new_flows(upstream)
            ]
            self._by_service[service] = found
        return found

    def put_configuration(self, configuration: RoutingConfiguration) -> ApplyOutcome:
        """Brings a configuration into force unless it is older than the one in force."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return _UNCHANGED
        self.configuration = configuration
        self._routes = {route.address: route for route in configuration.routes}
        self._services = {service.name: service for service in configuration.services}
        self._by_service.clear()
        return ApplyOutcome(True, f"version {configuration.version}")

    def put_upstream(self, record: UpstreamRecord, now_ms: int) -> ApplyOutcome:
        """Takes the report of an upstream."""
        known = self._upstreams.get(record.name)
        if known is None:
            known = KnownUpstream(record, now_ms)
            self._upstreams[record.name] = known
            self._by_token[known.token] = known
            self._by_service.clear()
            return ApplyOutcome(True, "new")
        if known.record == record and known.missing_since_ms is None:
            return _UNCHANGED
        known.report(record, now_ms)
        self._by_service.clear()
        return ApplyOutcome(True, "draining" if record.is_draining else "reported")

    def remove_upstream(self, name: str, now_ms: int) -> ApplyOutcome:
        """Notes that the entry of an upstream is gone.

        An upstream that had announced its end takes no new flows from now on. Any other may
        have lost its entry to an outage of the source; it is used last until the entry is back
        or `expire_upstreams` ends it.
        """
        known = self._upstreams.get(name)
        if known is None or known.missing_since_ms is not None:
            return _UNCHANGED
        known.missing_since_ms = now_ms
        if known.record.is_draining:
            known.is_removed = True
        self._by_service.clear()
        return ApplyOutcome(True, "removed" if known.is_removed else "missing")

    def set_evacuated(self, data_centre: str, is_evacuated: bool) -> ApplyOutcome:
        """Ends or allows new flows to the upstreams of a data centre."""
        if (data_centre in self._evacuated) == is_evacuated:
            return _UNCHANGED
        if is_evacuated:
            self._evacuated.add(data_centre)
        else:
            self._evacuated.discard(data_centre)
        self._by_service.clear()
        return ApplyOutcome(True, "evacuated" if is_evacuated else "taken back")

    def hold_cold(self, data_centre: str, until_ms: int) -> None:
        """Treats all upstreams of a data centre as cold at least until a time."""
        for known in self._upstreams.values():
            if known.record.data_centre == data_centre:
                known.cold_until_ms = max(known.cold_until_ms, until_ms)

    def expire_upstreams(self, now_ms: int, available_since_ms: int | None) -> list[str]:
        """Ends upstreams whose entry stayed missing and forgets those gone for long.

        Args:
            now_ms: Current time.
            available_since_ms: Since when the source answers; None while it does not. Entries
                that lapsed in an outage have until LAPSE_GRACE_MS after it to return.

        Returns:
            The names of the upstreams that take no new flows from now on.
        """
        ended = []
        for name, known in list(self._upstreams.items()):
            if known.missing_since_ms is None:
                continue
            missing_ms = now_ms - known.missing_since_ms
            if not known.is_removed:
                if available_since_ms is None:
                    continue
                if now_ms - max(known.missing_since_ms, available_since_ms) >= LAPSE_GRACE_MS:
                    known.is_removed = True
                    self._by_service.clear()
                    ended.append(name)
            elif missing_ms >= self._flow_lifetime_max_ms:
                del self._upstreams[name]
                if self._by_token.get(known.token) is known:
                    del self._by_token[known.token]
        return ended

    def _takes_new_flows(self, upstream: KnownUpstream) -> bool:
        record = upstream.record
        return (
            not upstream.is_removed
            and not record.is_draining
            and record.data_centre not in self._evacuated
        )
