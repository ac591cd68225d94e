"""Test fixtures: a forwarder with a small deployment and without a network."""

import random
from collections.abc import Callable

from catkinspread.clock import ManualClock
from catkinspread.deployment import (
    DeploymentState,
    KnownUpstream,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceAddress,
    ServiceLimits,
    ServiceShare,
    UpstreamRecord,
)
from catkinspread.eventlog import EventLog
from catkinspread.forwarding import (
    AdmissionPolicy,
    CallerPacket,
    ColdStartLimiter,
    DecisionLog,
    FlowAdoption,
    FlowKey,
    FlowPeers,
    Forwarder,
    LoadTracker,
    LocalAvailability,
    PacketOutput,
    Placement,
    RestartReport,
    RestartTracker,
    TokenStage,
    encode_flow_token,
)

# Service address of the route, and one without a route.
ORDERS_ADDRESS = ServiceAddress(0xC6120001, 443)
UNROUTED_ADDRESS = ServiceAddress(0xC6120001, 444)
SERVICE = "orders"
SEQUENCE = 1_000
START_MS = 1_000_000


class RecordingOutput:
    """Records the packets that a forwarder sends."""

    def __init__(self) -> None:
        self.forwarded: list[tuple[CallerPacket, str]] = []
        self.tokens: list[int] = []
        self.resets: list[tuple[FlowKey, int]] = []

    def forward(self, packet: CallerPacket, upstream: KnownUpstream, token: int) -> None:
        self.forwarded.append((packet, upstream.record.name))
        self.tokens.append(token)

    def reset(self, key: FlowKey, sequence: int) -> None:
        self.resets.append((key, sequence))


class LineRecorder:
    """Records log lines instead of writing them."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, line: bytes) -> bool:
        self.lines.append(line)
        return True


def build_upstream(
    name: str,
    data_centre: str = "east",
    service: str = SERVICE,
    is_draining: bool = False,
    cold_remaining_ms: int = 0,
    born_ms: int = 1,
) -> UpstreamRecord:
    """Returns the record of an upstream with two work slots."""
    return UpstreamRecord(
        name=name,
        key=1,
        service=service,
        data_centre=data_centre,
        host="10.0.0.1",
        port=80,
        work_slots=2,
        is_draining=is_draining,
        cold_remaining_ms=cold_remaining_ms,
        born_ms=born_ms,
    )


def build_configuration(
    version: int = 1, service: str = SERVICE, cold_rate_per_s: float = 0.0
) -> RoutingConfiguration:
    """Returns a configuration with one route."""
    route = Route(
        "r1", ORDERS_ADDRESS, (ServiceShare(service, 1.0),), RequestKind.NON_IDEMPOTENT, 2_000, 1
    )
    limits = ServiceLimits(service, cold_rate_per_s, 2_000)
    return RoutingConfiguration(version, (route,), (limits,), 15_000)


class ForwarderHarness:
    """A forwarder with its dependencies and a manual clock."""

    def __init__(
        self,
        *records: UpstreamRecord,
        data_centre: str = "east",
        seed: int = 1,
        is_state_complete: bool = True,
        peers: FlowPeers | None = None,
        clock: ManualClock | None = None,
        output: PacketOutput | None = None,
        admission: AdmissionPolicy | None = None,
        has_source_answered: Callable[[int], bool] = lambda since_ms: True,
    ) -> None:
        self.clock = clock or ManualClock(START_MS)
        self.state = DeploymentState(flow_lifetime_max_ms=60_000)
        if is_state_complete:
            self.state.put_configuration(build_configuration())
            self.state.upstreams_loaded = True
            self.state.evacuations_loaded = True
        for record in records:
            self.state.put_upstream(record, self.clock.now_ms())
        self.output = RecordingOutput()
        self.loads = LoadTracker()
        self.lines = LineRecorder()
        rng = random.Random(seed)
        self.cold_start_limiter = ColdStartLimiter(instance_count=1, rng=rng)
        self.reports: list[RestartReport] = []
        self.source_checks = 0
        self.restarts = RestartTracker(
            self.state, has_source_answered, self._count_source_check, self.reports.append
        )
        self.placement = Placement(
            data_centre, self.state, self.loads, self.cold_start_limiter, rng, self.restarts
        )
        self.local_availability = LocalAvailability(data_centre, self.state)
        events = EventLog("one", self.lines, self.clock)
        self.forwarder = Forwarder(
            self.state,
            self.placement,
            self.loads,
            self.local_availability,
            output or self.output,
            DecisionLog(events, self.state),
            lambda packet: "id-1" if packet.payload_size_bytes else "",
            peers,
            admission,
            self.restarts,
        )

    @property
    def adoption(self) -> FlowAdoption:
        return self.forwarder.adoption

    @property
    def now_ms(self) -> int:
        return self.clock.now_ms()

    def send(self, packet: CallerPacket) -> None:
        """Passes a packet to the forwarder."""
        self.forwarder.handle(packet, self.now_ms)

    def wait(self, duration_ms: int) -> None:
        """Advances the clock in steps of 10 ms and runs what is due after each step.

        Expires flows once, after the last step.
        """
        for _ in range(0, duration_ms, 10):
            self.clock.advance(10)
            self.forwarder.send_due_retries(self.now_ms)
            self.adoption.adopt_due(self.now_ms)
            self.restarts.update(self.now_ms)
        self.forwarder.expire_flows(self.now_ms)

    def _count_source_check(self) -> None:
        self.source_checks += 1

    def find_token(self, name: str) -> int:
        """Returns the token of an upstream."""
        return next(
            known.token for known in self.state.list_upstreams() if known.record.name == name
        )

    def encode_token(self, name: str, stage: TokenStage = TokenStage.FIRST_ATTEMPT) -> int:
        """Returns the token field of packets of a caller whose opening packet is sent now."""
        known = next(found for found in self.state.list_upstreams() if found.record.name == name)
        return encode_flow_token(known, stage, self.now_ms)

    def list_targets(self) -> list[str]:
        """Returns the names of the upstreams that packets were sent to, in order."""
        return [name for _, name in self.output.forwarded]


def build_packet(
    caller_port: int = 4_000,
    is_opening: bool = False,
    is_close: bool = False,
    sequence: int = SEQUENCE + 1,
    acknowledged: int = 1,
    token: int = 0,
    payload_size_bytes: int = 0,
    address: ServiceAddress = ORDERS_ADDRESS,
) -> CallerPacket:
    """Returns a packet from a caller."""
    return CallerPacket(
        key=FlowKey(0x64400007, caller_port, address),
        is_opening=is_opening,
        is_close=is_close,
        is_reset=False,
        sequence=sequence,
        acknowledged=acknowledged,
        token=token,
        payload_size_bytes=payload_size_bytes,
        datagram=b"",
    )


def build_opening_packet(
    caller_port: int = 4_000, copy: int = 0, address: ServiceAddress = ORDERS_ADDRESS
) -> CallerPacket:
    """Returns an opening packet, or a retransmission of it if `copy` is not 0."""
    return build_packet(
        caller_port, is_opening=True, sequence=SEQUENCE, acknowledged=copy, address=address
    )
