"""A simulated fleet of instances on lossy links, for benches and tests of control traffic."""

import random
from collections.abc import Callable

from catkinspread.bench.events import EventQueue
from catkinspread.membership import (
    MemberRecord,
    MembershipView,
    MemberState,
    NewerVersionReported,
    SendMessage,
    decode_membership_message,
    encode_membership_message,
)
from catkinspread.membership.actions import MemberChanged, MembershipAction
from catkinspread.model import Endpoint

HEADER_BYTES = 28  # IPv4 and UDP
TICK_MS = 100
START_MS = 1_000_000


class Links:
    """Delay, loss and cuts between data centres.

    Attributes:
        loss: Share of the messages lost between data centres; a tenth of it within one.
        cut: Pairs of data centres that cannot reach each other.
    """

    __slots__ = ("_regions", "_rng", "cut", "loss")

    def __init__(self, regions: dict[str, str], rng: random.Random, loss: float) -> None:
        self._regions = regions
        self._rng = rng
        self.loss = loss
        self.cut: set[frozenset[str]] = set()

    def isolate(self, data_centre: str) -> None:
        """Cuts a data centre from all others."""
        others = set(self._regions) - {data_centre}
        self.cut |= {frozenset((data_centre, other)) for other in others}

    def is_cut(self, source: str, target: str) -> bool:
        """Whether two data centres cannot reach each other."""
        return frozenset((source, target)) in self.cut

    def draw_delay_ms(self, source: str, target: str) -> int | None:
        """Returns the delay of a message, or None if it is lost."""
        if self.is_cut(source, target):
            return None
        loss = self.loss if source != target else self.loss / 10
        if self._rng.random() < loss:
            return None
        if source == target:
            return 1
        base_ms = 5 if self._regions[source] == self._regions[target] else 60
        return base_ms + int(self._rng.expovariate(1) * base_ms / 5)


class FleetNode:
    """One instance: its view, its counters and whether it runs."""

    __slots__ = (
        "bytes_received",
        "bytes_sent",
        "data_centre",
        "endpoint",
        "inbox",
        "is_paused",
        "is_running",
        "name",
        "view",
    )

    def __init__(self, name: str, data_centre: str, endpoint: Endpoint) -> None:
        self.name = name
        self.data_centre = data_centre
        self.endpoint = endpoint
        self.view: MembershipView | None = None
        self.inbox: list[bytes] = []
        self.is_paused = False
        self.is_running = False
        self.bytes_sent = 0
        self.bytes_received = 0


class Fleet:
    """Runs membership views over simulated links.

    Args:
        seed: Seed of links and views.
        node_count: Instances, spread evenly over the data centres.
        data_centre_count: Data centres.
        region_count: Regions, to which the data centres are dealt in turn.
        loss: See Links.

    Attributes:
        nodes: Node by name.
        on_change: Called with the node, the change and the time in ms.
    """

    def __init__(
        self,
        seed: int,
        node_count: int = 9,
        data_centre_count: int = 3,
        region_count: int = 1,
        loss: float = 0.01,
    ) -> None:
        self.rng = random.Random(seed)
        self.queue = EventQueue(START_MS)
        names = [f"dc-{index + 1}" for index in range(data_centre_count)]
        regions = {name: f"region-{i % region_count + 1}" for i, name in enumerate(names)}
        self.links = Links(regions, self.rng, loss)
        self.nodes: dict[str, FleetNode] = {}
        self._by_endpoint: dict[Endpoint, FleetNode] = {}
        self.on_change: Callable[[FleetNode, MemberChanged, int], None] | None = None
        for index in range(node_count):
            data_centre = names[index % data_centre_count]
            endpoint = Endpoint(
                f"10.{index % data_centre_count}.{index // 250}.{index % 250}", 9001
            )
            self._add(f"{data_centre}-{index:03d}", data_centre, endpoint)

    @property
    def now_ms(self) -> int:
        """The simulated time."""
        return self.queue.clock.now_ms()

    def run(self, duration_ms: int) -> None:
        """Runs for a time."""
        self.queue.run_until(self.now_ms + duration_ms)

    def start(self, name: str, seeds: list[Endpoint] | None = None) -> MembershipView:
        """Starts an instance without any state."""
        node = self.nodes[name]
        record = MemberRecord(
            name,
            self.now_ms,
            0,
            MemberState.ALIVE,
            node.data_centre,
            node.endpoint.host,
            node.endpoint.port,
        )
        view = MembershipView(record, random.Random(self.rng.random()), self.now_ms)
        view.add_seeds(self.list_seeds() if seeds is None else seeds)
        node.view = view
        node.is_running = True
        node.inbox.clear()
        self.queue.schedule(self.rng.randrange(TICK_MS), lambda: self._tick(node, view))
        return view

    def start_all(self) -> None:
        """Starts all instances with full views, as after a long quiet time."""
        for name in self.nodes:
            self.start(name)
        records = [node.view.own.make_record(self.now_ms) for node in self.nodes.values()]
        for node in self.nodes.values():
            node.view.merge_view(records, self.now_ms)

    def list_seeds(self) -> list[Endpoint]:
        """Returns the endpoints of the first two instances of each data centre."""
        found: dict[str, list[Endpoint]] = {}
        for node in self.nodes.values():
            found.setdefault(node.data_centre, []).append(node.endpoint)
        return [endpoint for group in found.values() for endpoint in group[:2]]

    def kill(self, name: str) -> None:
        """Stops an instance without notice."""
        self.nodes[name].is_running = False
        self.nodes[name].view = None

    def leave(self, name: str) -> None:
        """Lets an instance announce that it leaves, then stops it."""
        node = self.nodes[name]
        self._act(node, node.view.leave(self.now_ms))
        self.kill(name)

    def pause(self, name: str, duration_ms: int) -> None:
        """Stops the loop of an instance for a time; its messages wait."""
        node = self.nodes[name]
        node.is_paused = True
        self.queue.schedule(duration_ms, lambda: self._resume(node))

    def list_running(self) -> list[FleetNode]:
        """Returns the nodes that run."""
        return [node for node in self.nodes.values() if node.is_running]

    def send(self, source: FleetNode, target: FleetNode, size_bytes: int, receive) -> None:
        """Counts a message and delivers it unless it is lost.

        Args:
            source: Sending node.
            target: Receiving node.
            size_bytes: Size without headers.
            receive: Called without arguments at the receiver.
        """
        source.bytes_sent += size_bytes + HEADER_BYTES
        delay_ms = self.links.draw_delay_ms(source.data_centre, target.data_centre)
        if delay_ms is not None:
            self.queue.schedule(delay_ms, lambda: self._deliver(target, size_bytes, receive))

    def after_tick(self, node: FleetNode) -> None:
        """Runs what else an instance does in its loop."""

    def after_version_seen(self, node: FleetNode, action: NewerVersionReported) -> None:
        """Takes a version that a peer reported."""

    def _add(self, name: str, data_centre: str, endpoint: Endpoint) -> None:
        node = self.nodes[name] = FleetNode(name, data_centre, endpoint)
        self._by_endpoint[endpoint] = node

    def _tick(self, node: FleetNode, view: MembershipView) -> None:
        if node.view is not view:
            return
        if not node.is_paused:
            self._act(node, view.tick(self.now_ms))
            self.after_tick(node)
        self.queue.schedule(TICK_MS, lambda: self._tick(node, view))

    def _resume(self, node: FleetNode) -> None:
        node.is_paused = False
        waiting, node.inbox = node.inbox, []
        for receive in waiting:
            receive()

    def _deliver(self, target: FleetNode, size_bytes: int, receive) -> None:
        if not target.is_running:
            return
        target.bytes_received += size_bytes + HEADER_BYTES
        if target.is_paused:
            target.inbox.append(receive)
        else:
            receive()

    def _act(self, node: FleetNode, actions: list[MembershipAction]) -> None:
        for action in actions:
            match action:
                case SendMessage(endpoint=endpoint, message=message):
                    datagram = encode_membership_message(message)
                    target = self._by_endpoint.get(endpoint)
                    if target is not None:
                        receive = self._make_receiver(target, datagram)
                        self.send(node, target, len(datagram), receive)
                case MemberChanged() if self.on_change is not None:
                    self.on_change(node, action, self.now_ms)
                case NewerVersionReported():
                    self.after_version_seen(node, action)

    def _make_receiver(self, target: FleetNode, datagram: bytes) -> Callable[[], None]:
        def receive() -> None:
            if target.view is not None:
                message = decode_membership_message(datagram)
                self._act(target, target.view.handle(message, self.now_ms))

        return receive
