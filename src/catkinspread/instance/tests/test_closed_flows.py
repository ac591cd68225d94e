"""Requests whose flow has ended, sent to stand-in upstreams without sockets."""

import random

from catkinspread.configuration import (
    ChangeEntry,
    DataCentreSet,
    ServiceSet,
    SlotMove,
    SlotsMoved,
    UpstreamSet,
    apply_entry,
)
from catkinspread.emulator import UpstreamModel, UpstreamOptions
from catkinspread.instance import InstanceCore
from catkinspread.instance.actions import SendToPeer, SendToUpstream
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
from catkinspread.records import RecordStore
from catkinspread.requests import RequestParameters
from catkinspread.routing import MemberView, RoutingLimits
from catkinspread.wire import Close, FabricPacket, Open, Request, encode_packet

START_MS = 1_000_000
DESK = Endpoint("127.0.0.1", 9000)
OLD = Endpoint("127.0.0.1", 9101)
NEW = Endpoint("127.0.0.1", 9102)
CALLER = Endpoint("127.0.0.1", 40000)
OWNER = InstanceIncarnation("i1", 1)
OTHER = InstanceIncarnation("i2", 1)
TICK_MS = 20
# The retry budget allows one retry for every ten requests.
EARLIER_REQUESTS = 40


class Site:
    """Two instances, of which i1 owns a transition of all slots, and both its upstreams.

    Attributes:
        now_ms: Time of all parts.
        cores: Instances by name.
        upstreams: Stand-ins by endpoint.
        holds_replies: Whether replies of upstreams wait for `deliver_replies`.
    """

    def __init__(self) -> None:
        self.now_ms = START_MS
        self.holds_replies = False
        self._held: list[tuple[str, Endpoint, bytes]] = []
        options = UpstreamOptions(warmup_ms=0)
        self.upstreams = {name: UpstreamModel(options, START_MS) for name in (OLD, NEW)}
        self.cores = {member.instance: _build_core(member) for member in (OWNER, OTHER)}
        self._apply(*_configure())
        self.run(10_000)

    def send(self, instance: str, packet: Open | Close | Request) -> None:
        """Hands a packet of the caller to an instance."""
        datagram = encode_packet(packet)
        received = FabricPacket(DESK.host, DESK.port, CALLER.host, CALLER.port, datagram)
        self._execute(instance, self.cores[instance].handle_caller(received, self.now_ms))

    def run(self, duration_ms: int) -> None:
        """Advances the time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for name, core in self.cores.items():
                core.state.router.record_contact(core.state.configuration.version, self.now_ms)
                self._execute(name, core.tick(self.now_ms))

    def deliver_replies(self) -> None:
        """Delivers the replies that were held, and holds no more."""
        self.holds_replies = False
        held, self._held = self._held, []
        for instance, endpoint, datagram in held:
            self._deliver(instance, endpoint, datagram)

    def _apply(self, *configurations: Configuration) -> None:
        for configuration in configurations:
            views = [
                MemberView(member.instance, member.incarnation, "khomas-1", configuration.version)
                for member in (OWNER, OTHER)
            ]
            for name, core in self.cores.items():
                self._execute(name, core.apply(configuration, self.now_ms))
                self._execute(name, core.set_members(views, self.now_ms))

    def _execute(self, instance: str, actions: list) -> None:
        """Carries packets and messages at once; actions for callers and the store are ignored."""
        for action in actions:
            match action:
                case SendToPeer(receiver, body):
                    core = self.cores[receiver]
                    member = self.cores[instance].state.member
                    self._execute(receiver, core.handle_peer(member, body, self.now_ms))
                case SendToUpstream(endpoint, packet):
                    self._send_to_upstream(instance, endpoint, packet)

    def _send_to_upstream(self, instance: str, endpoint: Endpoint, packet) -> None:
        model = self.upstreams[endpoint]
        replies = model.handle(packet, Endpoint("127.0.0.1", 1), self.now_ms)
        while (work := model.take_work(self.now_ms)) is not None:
            replies += model.build_answer(work[0])
        for reply in replies:
            datagram = encode_packet(reply)
            if self.holds_replies:
                self._held.append((instance, endpoint, datagram))
            else:
                self._deliver(instance, endpoint, datagram)

    def _deliver(self, instance: str, endpoint: Endpoint, datagram: bytes) -> None:
        core = self.cores[instance]
        self._execute(instance, core.handle_upstream(endpoint, datagram, self.now_ms))


def _build_core(member: InstanceIncarnation) -> InstanceCore:
    records = RecordStore(member.instance, START_MS)
    return InstanceCore(member, 100, records, random.Random(1), START_MS)


def _configure() -> list[Configuration]:
    """Returns a service on OLD, and the start of a transition of all its slots to NEW."""
    slots = tuple(range(SLOT_COUNT))
    group = OwnerGroup((OWNER,))
    first = (
        DataCentreSet(DataCentre("khomas-1", "khomas")),
        ServiceSet(Service("recipe-desk", DESK)),
        UpstreamSet(Upstream("rd-1", "recipe-desk", "khomas-1", OLD)),
        UpstreamSet(Upstream("rd-2", "recipe-desk", "khomas-1", NEW)),
        SlotsMoved("recipe-desk", (SlotMove("rd-1", slots),), group),
    )
    second = (SlotsMoved("recipe-desk", (SlotMove("rd-2", slots),), group),)
    configurations = [Configuration()]
    for index, effects in enumerate((first, second), 1):
        entry = ChangeEntry(f"c{index}", "operator", "", "", START_MS, 0, effects)
        configurations.append(apply_entry(configurations[-1], index, entry))
    return configurations[1:]


def _build_request(site: Site, number: int) -> Request:
    return Request(0, "press", str(number), site.now_ms, 4_000, True, 1, b"page")


def _open_flow(site: Site, instance: str) -> None:
    """Opens a flow on NEW and sends it requests through an instance."""
    site.send(instance, Open())
    site.run(100)
    for number in range(EARLIER_REQUESTS):
        site.send(instance, _build_request(site, number))
        site.run(100)
    assert len(site.upstreams[NEW].flows) == 1
    assert len(site.upstreams[NEW].starts_ms) == EARLIER_REQUESTS


def _send_copy_after_close(site: Site, instance: str) -> None:
    """Closes the flow and hands a copy of its last request, which it overtook, to an instance."""
    last = _build_request(site, EARLIER_REQUESTS)
    site.send("i1", last)
    site.run(100)
    site.send("i1", Close())
    site.send(instance, last)
    site.run(5_000)


def test_copy_of_a_request_after_the_close_is_not_repeated_at_the_old_upstream() -> None:
    """Guards against retries that outlive the pin of their flow and reach the base upstream."""
    site = Site()
    _open_flow(site, "i1")
    _send_copy_after_close(site, "i1")
    assert site.upstreams[OLD].unknown_flow_packets == 0


def test_relayed_copy_after_the_close_is_not_repeated_at_the_old_upstream() -> None:
    """Guards against the same at an instance that another one sends the request for."""
    site = Site()
    _open_flow(site, "i2")
    _send_copy_after_close(site, "i2")
    assert site.upstreams[OLD].unknown_flow_packets == 0


def test_copies_of_a_request_in_flight_are_not_repeated_after_the_close() -> None:
    """Guards against a copy that nobody answers, so that it is repeated after the close.

    The fabric handed the last request of the flow to two instances.
    """
    site = Site()
    _open_flow(site, "i2")
    last = _build_request(site, EARLIER_REQUESTS)
    site.holds_replies = True
    site.send("i1", last)
    site.send("i2", last)
    site.run(100)
    site.deliver_replies()
    site.send("i1", Close())
    closed_ms = site.now_ms
    site.run(5_000)
    assert site.upstreams[OLD].unknown_flow_packets == 0
    assert site.upstreams[NEW].last_packet_ms == closed_ms


def test_pin_of_a_closed_flow_outlives_the_retries_of_a_request() -> None:
    """Guards against a change of one of the times that lets the last attempt lose its upstream."""
    parameters = RequestParameters()
    backoffs_ms = [
        min(parameters.backoff_base_ms << attempt, parameters.backoff_max_ms)
        for attempt in range(parameters.attempts_max - 1)
    ]
    last_attempt_ms = sum(parameters.attempt_timeout_ms + delay_ms for delay_ms in backoffs_ms)
    # Each attempt waits for two timers, which are checked at most 50 ms late.
    last_attempt_ms += 2 * 50 * len(backoffs_ms)
    assert last_attempt_ms < RoutingLimits().close_linger_ms
