"""The current state of the deployment as an instance has read it.

The configuration version never decreases: an older configuration is ignored.

An upstream whose record disappears from the source goes through these states:

* Missing: the source has no record of it. It gets new flows only as a last resort, because its
  record may have expired in an outage of the source although the upstream is alive.
* Removed: it gets no new flows, but packets of its open flows are still forwarded to it. A
  draining upstream is removed as soon as it is missing. Any other one is removed by the next call
  of `expire_upstreams` if the source had been available for MISSING_GRACE_MS before, because its
  record then did not expire in an outage, and otherwise after MISSING_GRACE_MS.
* Gone: its process has ended, because its record stayed missing for MISSING_GRACE_MS.
* Deleted: the state has no data about it. A removed upstream is deleted after it has been missing
  for the maximum lifetime of a flow.

A new record of a missing or removed upstream makes it available again.

A record that cannot be read was not written by the upstream, whose process goes on. It stays in use
as its last record says. An upstream that is alive writes again within a heartbeat interval; one whose
record stays unreadable for MISSING_GRACE_MS counts as missing from then on, but does not become
removed or gone.

Whether a record is applied at all is decided where it is read, by `ReportOrder`.
"""

import msgspec

from catkinspread.deployment.records import (
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    UpstreamRecord,
)
from catkinspread.deployment.tokens import TOKEN_MAX, TokenTable, compute_token

# Time that an upstream is missing before it is removed, counted from the end of an outage of the
# source if there was one. Upstreams that are alive write an expired record again within 2 s. The
# value does not follow the heartbeat_ms setting.
MISSING_GRACE_MS = 2_300
_UNKNOWN_SERVICE_LIMITS = ServiceLimits(name="", cold_rate_per_s=0.0, connections_max=1)


class KnownUpstream:
    """An upstream with the data that this instance keeps about it.

    Attributes:
        record: Latest record of the upstream.
        token: Number that identifies it in packets; see `TokenTable`.
        cold_until_ms: End of its cold start.
        missing_since_ms: When its record disappeared from the source, or had been unreadable for
            MISSING_GRACE_MS; None while it is in use.
        unreadable_since_ms: Since when the source holds a record of it that is not used; None if
            the record is readable or missing.
        is_removed: Whether it is removed, as defined at the top of this module.
        is_gone: Whether it is gone, as defined at the top of this module.
    """

    __slots__ = (
        "cold_until_ms",
        "is_gone",
        "is_removed",
        "missing_since_ms",
        "record",
        "token",
        "unreadable_since_ms",
    )

    def __init__(self, record: UpstreamRecord, now_ms: int) -> None:
        self.record = record
        self.token = compute_token(record.name)
        self.cold_until_ms = now_ms + record.cold_remaining_ms
        self.missing_since_ms: int | None = None
        self.unreadable_since_ms: int | None = None
        self.is_removed = False
        self.is_gone = False

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.record.name

    @property
    def born_ms(self) -> int:
        """When its process started."""
        return self.record.born_ms

    def update(self, record: UpstreamRecord, now_ms: int) -> None:
        """Applies a newer record of the same upstream."""
        self.record = record
        self.cold_until_ms = now_ms + record.cold_remaining_ms
        self.missing_since_ms = None
        self.unreadable_since_ms = None
        self.is_removed = False
        self.is_gone = False


class ApplyOutcome(msgspec.Struct, frozen=True):
    """Result of applying a change to the state.

    Attributes:
        is_changed: Whether the state differs from before.
        detail: Short description of the difference, for the log.
    """

    is_changed: bool
    detail: str = ""


_UNCHANGED = ApplyOutcome(False)


class DeploymentState:
    """Routes, upstreams and evacuated data centres.

    Args:
        flow_lifetime_max_ms: Maximum lifetime of a flow; removed upstreams are kept this long.

    Attributes:
        configuration: Current configuration; None until one was read.
        upstreams_loaded: Whether the upstreams were listed at least once.
        evacuations_loaded: Whether the evacuations were listed at least once.
    """

    __slots__ = (
        "_eligible_by_service",
        "_evacuated",
        "_flow_lifetime_max_ms",
        "_routes",
        "_services",
        "_tokens",
        "_upstreams",
        "configuration",
        "evacuations_loaded",
        "upstreams_loaded",
    )

    def __init__(self, flow_lifetime_max_ms: int) -> None:
        self._flow_lifetime_max_ms = flow_lifetime_max_ms
        self.configuration: RoutingConfiguration | None = None
        self.upstreams_loaded = False
        self.evacuations_loaded = False
        self._routes: dict[ServiceAddress, Route] = {}
        self._services: dict[str, ServiceLimits] = {}
        self._upstreams: dict[str, KnownUpstream] = {}
        self._tokens: TokenTable[KnownUpstream] = TokenTable()
        self._eligible_by_service: dict[str, list[KnownUpstream]] = {}
        self._evacuated: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Whether all kinds of records were read at least once."""
        return self.configuration is not None and self.upstreams_loaded and self.evacuations_loaded

    def find_route(self, address: ServiceAddress) -> Route | None:
        """Returns the route of a service address; None if there is none."""
        return self._routes.get(address)

    def find_service_limits(self, name: str) -> ServiceLimits:
        """Returns the limits of a service.

        The limits of an unknown service allow no flows to upstreams in cold start.
        """
        return self._services.get(name, _UNKNOWN_SERVICE_LIMITS)

    def list_services(self) -> tuple[str, ...]:
        """Returns the names of all services in the configuration."""
        return tuple(self._services)

    def find_upstream_by_token(self, token: int) -> KnownUpstream | None:
        """Returns the upstream with a token, including removed ones; None if there is none.

        Args:
            token: The token, or the token field of a packet of an open flow, whose stage is ignored.
        """
        return self._tokens.find(token & TOKEN_MAX)

    def find_upstream_by_short_token(self, short_token: int) -> KnownUpstream | None:
        """Returns the upstream whose token has the given lowest SHORT_TOKEN_BITS bits.

        Returns None if there is none, or more than one. Removed ones are included.
        """
        return self._tokens.find_by_short_token(short_token)

    def find_upstream(self, name: str) -> KnownUpstream | None:
        """Returns the upstream with a name, including removed ones; None if there is none."""
        return self._upstreams.get(name)

    def list_upstreams(self) -> tuple[KnownUpstream, ...]:
        """Returns all upstreams, including removed ones."""
        return tuple(self._upstreams.values())

    def list_evacuated_data_centres(self) -> tuple[str, ...]:
        """Returns the names of the evacuated data centres in alphabetical order."""
        return tuple(sorted(self._evacuated))

    def list_eligible_upstreams(self, service: str) -> list[KnownUpstream]:
        """Returns the upstreams of a service that may get new flows.

        Upstreams in cold start are included.
        """
        found = self._eligible_by_service.get(service)
        if found is None:
            found = [
                upstream
                for upstream in self._upstreams.values()
                if upstream.record.service == service and self.is_eligible(upstream)
            ]
            self._eligible_by_service[service] = found
        return found

    def is_eligible(self, upstream: KnownUpstream) -> bool:
        """Whether an upstream may get new flows."""
        record = upstream.record
        return (
            not upstream.is_removed
            and not record.is_draining
            and record.data_centre not in self._evacuated
        )

    def put_configuration(self, configuration: RoutingConfiguration) -> ApplyOutcome:
        """Replaces the configuration unless the given one is not newer."""
        if not configuration.is_newer_than(self.configuration):
            return _UNCHANGED
        self.configuration = configuration
        self._routes = {route.address: route for route in configuration.routes}
        self._services = {service.name: service for service in configuration.services}
        self._eligible_by_service.clear()
        return ApplyOutcome(True, f"version {configuration.version}")

    def put_upstream(self, record: UpstreamRecord, now_ms: int) -> ApplyOutcome:
        """Adds an upstream or applies a newer record of it."""
        known = self._upstreams.get(record.name)
        if known is None:
            known = KnownUpstream(record, now_ms)
            self._upstreams[record.name] = known
            self._tokens.add(known)
            self._eligible_by_service.clear()
            return ApplyOutcome(True, "new")
        is_in_use = known.missing_since_ms is None and known.unreadable_since_ms is None
        if known.record == record and is_in_use:
            return _UNCHANGED
        known.update(record, now_ms)
        self._tokens.update(known)
        self._eligible_by_service.clear()
        return ApplyOutcome(True, "draining" if record.is_draining else "reported")

    def mark_upstream_missing(self, name: str, now_ms: int) -> ApplyOutcome:
        """Marks an upstream as missing, and as removed if it is draining.

        An upstream that is not draining stays missing until its record is written again or
        `expire_upstreams` removes it.
        """
        known = self._upstreams.get(name)
        if known is None:
            return _UNCHANGED
        if known.missing_since_ms is not None and known.unreadable_since_ms is None:
            return _UNCHANGED
        known.missing_since_ms = now_ms
        known.unreadable_since_ms = None
        if known.record.is_draining:
            known.is_removed = True
        self._eligible_by_service.clear()
        return ApplyOutcome(True, "removed" if known.is_removed else "missing")

    def mark_upstream_unreadable(self, name: str, now_ms: int) -> ApplyOutcome:
        """Notes that the record of an upstream cannot be read; its last record stays in use."""
        known = self._upstreams.get(name)
        if known is None:
            return _UNCHANGED
        if known.missing_since_ms is not None or known.unreadable_since_ms is not None:
            return _UNCHANGED
        known.unreadable_since_ms = now_ms
        return ApplyOutcome(True, "unreadable")

    def note_held_report(self, record: UpstreamRecord, now_ms: int) -> ApplyOutcome:
        """Notes a report that is held back; the last record of the upstream stays in use.

        The upstream counts as cold for as long as either of them says, because the held report may
        be the true one.
        """
        known = self._upstreams.get(record.name)
        if known is None:
            return _UNCHANGED
        known.cold_until_ms = max(known.cold_until_ms, now_ms + record.cold_remaining_ms)
        last = known.record
        return ApplyOutcome(
            True,
            f"report {record.report_number} of start {record.born_ms} held back, last is "
            f"{last.report_number} of start {last.born_ms}",
        )

    def set_evacuated(self, data_centre: str, is_evacuated: bool) -> ApplyOutcome:
        """Sets whether a data centre is evacuated, so that its upstreams get no new flows."""
        if (data_centre in self._evacuated) == is_evacuated:
            return _UNCHANGED
        if is_evacuated:
            self._evacuated.add(data_centre)
        else:
            self._evacuated.discard(data_centre)
        self._eligible_by_service.clear()
        return ApplyOutcome(True, "evacuated" if is_evacuated else "evacuation ended")

    def extend_cold_start(self, data_centre: str, until_ms: int) -> None:
        """Treats all upstreams of a data centre as in cold start until at least a given time."""
        for known in self._upstreams.values():
            if known.record.data_centre == data_centre:
                known.cold_until_ms = max(known.cold_until_ms, until_ms)

    def expire_upstreams(
        self, now_ms: int, available_since_ms: int | None, answered_at_ms: int | None = None
    ) -> list[KnownUpstream]:
        """Marks upstreams that stayed missing as removed and gone, and deletes those that are due.

        Args:
            now_ms: Current time.
            available_since_ms: When the source became available; None during an outage. Records
                that expired in an outage must be written again within MISSING_GRACE_MS of its
                end.
            answered_at_ms: When the source last answered, which the changes that are known depend
                on; None if it is the current time.

        Returns:
            The upstreams that this call marked as gone.
        """
        gone = []
        known_until_ms = now_ms if answered_at_ms is None else answered_at_ms
        for known in list(self._upstreams.values()):
            if known.unreadable_since_ms is not None:
                self._update_unreadable(known, now_ms)
                continue
            if known.missing_since_ms is None:
                continue
            if known.is_removed and now_ms - known.missing_since_ms >= self._flow_lifetime_max_ms:
                self._delete_upstream(known)
            elif not known.is_gone and available_since_ms is not None:
                if known.missing_since_ms - available_since_ms >= MISSING_GRACE_MS:
                    self._remove_upstream(known)
                grace_start_ms = max(known.missing_since_ms, available_since_ms)
                if known_until_ms - grace_start_ms >= MISSING_GRACE_MS:
                    self._remove_upstream(known)
                    known.is_gone = True
                    gone.append(known)
        return gone

    def _update_unreadable(self, known: KnownUpstream, now_ms: int) -> None:
        """Makes an upstream whose record stayed unreadable a last resort."""
        since_ms = known.unreadable_since_ms
        if since_ms is None or known.missing_since_ms is not None:
            return
        if now_ms - since_ms >= MISSING_GRACE_MS:
            known.missing_since_ms = now_ms
            self._eligible_by_service.clear()

    def _remove_upstream(self, known: KnownUpstream) -> None:
        if not known.is_removed:
            known.is_removed = True
            self._eligible_by_service.clear()

    def _delete_upstream(self, known: KnownUpstream) -> None:
        del self._upstreams[known.record.name]
        self._tokens.remove(known)
