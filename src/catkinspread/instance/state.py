"""What the paths of an instance share: configuration, routing, counters and records."""

import collections

from catkinspread.instance.recorder import Recorder
from catkinspread.model import Configuration, Endpoint, InstanceIncarnation, Upstream
from catkinspread.routing import MemberView, SlotRouter


class SharedState:
    """The shared state of the parts of one instance; all of them run in one task.

    Attributes:
        member: This run of the instance.
        router: Decides where packets go.
        configuration: The configuration in force.
        members: Live instances by name.
        drops: Number of dropped packets by reason.
        recorder: Records requests and flows that need an explanation.
    """

    __slots__ = (
        "_services",
        "_upstreams",
        "configuration",
        "drops",
        "member",
        "members",
        "recorder",
        "router",
    )

    def __init__(self, member: InstanceIncarnation, router: SlotRouter, recorder: Recorder) -> None:
        self.member = member
        self.router = router
        self.recorder = recorder
        self.configuration = Configuration()
        self.members: dict[str, MemberView] = {}
        self.drops: collections.Counter[str] = collections.Counter()
        self._services: dict[Endpoint, str] = {}
        self._upstreams: dict[Endpoint, Upstream] = {}

    def apply(self, configuration: Configuration, now_ms: int) -> None:
        """Puts a newer configuration in force; an older one is ignored."""
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.router.apply(configuration, now_ms)
        self._services = {
            service.address: service.name for service in configuration.services.values()
        }
        self._upstreams = {
            upstream.endpoint: upstream for upstream in configuration.upstreams.values()
        }

    def find_service(self, address: Endpoint) -> str | None:
        """Returns the name of the service at an address."""
        return self._services.get(address)

    def find_upstream(self, endpoint: Endpoint) -> Upstream | None:
        """Returns the upstream at an endpoint."""
        return self._upstreams.get(endpoint)

    def drop(self, reason: str) -> None:
        """Counts a dropped packet."""
        self.drops[reason] += 1
