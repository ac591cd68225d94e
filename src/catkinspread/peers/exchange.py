"""Exchange of statuses and load reports with other instances over UDP."""

import random
from collections.abc import Callable

import anyio
import anyio.abc
from absl import logging

from catkinspread.admission.types import RoomSummary
from catkinspread.clock import Clock
from catkinspread.model import Endpoint
from catkinspread.peers.directory import RANDOM_PEER_INTERVAL_MS, PeerDirectory
from catkinspread.peers.messages import (
    FlowAnnouncement,
    FlowLocation,
    Hello,
    HelloReply,
    LoadReport,
    Member,
    MemberStatus,
    MessageError,
    PeerMessage,
    Report,
    RestartMessage,
    SourceCheckRequest,
    UnreachableReport,
    decode_message,
    encode_message,
)
from catkinspread.transport.traffic import TrafficKind, TrafficMeter
from catkinspread.transport.udp import UdpTransport

HELLO_INTERVAL_MS = 300
# The feeders that are not in use are polled once in this number of rounds, so that their statuses do
# not reach `directory.STATUS_TIMEOUT_MS`.
STANDBY_POLL_ROUNDS = 3
# Probability that a seed replaces the random peer, so that groups of instances that have lost contact
# with each other find each other again.
SEED_PROBABILITY = 0.2
# Maximum random deviation from the interval between hellos, as a fraction of it, which keeps
# instances from sending in step.
HELLO_JITTER = 0.1
# An instance without the deployment state sends hellos more often.
INITIAL_HELLO_INTERVAL_MS = 60
MALFORMED_LOG_INTERVAL_S = 10
_MS_PER_S = 1_000


class PeerExchange:
    """Sends and receives the messages between instances.

    Args:
        member: This instance.
        port: UDP port, the same on all instances.
        seeds: IP addresses of instances for initial contact.
        directory: Receives the statuses and members of other instances.
        read_status: Returns the status of this instance.
        has_state: Returns whether this instance holds the deployment state.
        on_load_report: Called with each load report and the time of its arrival.
        on_unreachable_report: Called with each report of an unreachable upstream and the time of
            its arrival.
        on_restart_message: Called with each message about an upstream that may have started again
            and the time of its arrival.
        on_source_check_request: Called with the address of an instance that asks whether the source
            answers.
        on_flow_announcement: Called with each announcement of a flow and the time of its arrival;
            returns the answer to it, None if there is none.
        on_flow_location: Called with each location of a flow, the address of its sender and the time
            of its arrival.
        on_room_summary: Called with each summary of demand and load and the time of its arrival.
        traffic: Counts the bytes sent.
        clock: Source of the time.
        rng: Source of random choices.

    Attributes:
        malformed_count: Number of datagrams that were not valid messages.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_has_state",
        "_member",
        "_on_flow_announcement",
        "_on_flow_location",
        "_on_load_report",
        "_on_restart_message",
        "_on_room_summary",
        "_on_source_check_request",
        "_on_unreachable_report",
        "_port",
        "_random_peer_due_ms",
        "_read_status",
        "_rng",
        "_rounds",
        "_seeds",
        "_traffic",
        "_udp",
        "malformed_count",
    )

    def __init__(
        self,
        member: Member,
        port: int,
        seeds: tuple[str, ...],
        directory: PeerDirectory,
        read_status: Callable[[], MemberStatus],
        has_state: Callable[[], bool],
        on_load_report: Callable[[LoadReport, int], None],
        on_unreachable_report: Callable[[UnreachableReport, int], None],
        on_restart_message: Callable[[RestartMessage, int], None],
        on_source_check_request: Callable[[str], None],
        on_flow_announcement: Callable[[FlowAnnouncement, int], FlowLocation | None],
        on_flow_location: Callable[[FlowLocation, str, int], None],
        on_room_summary: Callable[[RoomSummary, int], None],
        traffic: TrafficMeter,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._port = port
        self._random_peer_due_ms = 0
        self._rounds = 0
        self._seeds: tuple[str, ...] = ()
        self._directory = directory
        self._read_status = read_status
        self._has_state = has_state
        self._on_load_report = on_load_report
        self._traffic = traffic
        self._on_unreachable_report = on_unreachable_report
        self._on_restart_message = on_restart_message
        self._on_source_check_request = on_source_check_request
        self._on_flow_announcement = on_flow_announcement
        self._on_flow_location = on_flow_location
        self._on_room_summary = on_room_summary
        self._clock = clock
        self._rng = rng
        self._udp = UdpTransport(Endpoint(member.host, port), self._receive, clock)
        self.malformed_count = 0
        self.replace_seeds(seeds)

    @property
    def handler_error_count(self) -> int:
        """Messages whose handling raised an exception."""
        return self._udp.handler_error_count

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Sets the IP addresses of the seeds; the address of this instance is ignored."""
        self._seeds = tuple(seed for seed in seeds if seed != self._member.host)

    async def run(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves the socket and sends hellos until cancelled.

        Args:
            task_status: Notified once the socket is open.
        """
        async with anyio.create_task_group() as group:
            await group.start(self._udp.run)
            task_status.started()
            while True:
                self.send_hello()
                is_complete = self._has_state()
                interval_ms = HELLO_INTERVAL_MS if is_complete else INITIAL_HELLO_INTERVAL_MS
                await anyio.sleep(
                    interval_ms
                    * (1 - HELLO_JITTER + 2 * HELLO_JITTER * self._rng.random())
                    / _MS_PER_S
                )

    def send_hello(self) -> None:
        """Sends the status to the feeders and, at a longer interval, to a random peer or a seed.

        While no other instance is known, each call sends it to all seeds.
        """
        now_ms = self._clock.now_ms()
        hello = Hello(self._read_status(), self._directory.digest)
        self._rounds += 1
        include_standby = self._rounds % STANDBY_POLL_ROUNDS == 0
        feeders = self._directory.list_feeders_to_poll(include_standby)
        self._send(hello, [feeder.host for feeder in feeders])
        if now_ms < self._random_peer_due_ms and self._directory.count_members() > 1:
            return
        self._random_peer_due_ms = now_ms + RANDOM_PEER_INTERVAL_MS
        members = self._directory.sample_members(now_ms)
        self._send(Hello(hello.status, hello.digest, members), self._choose_gossip_hosts())

    def send_status(self, hosts: list[str]) -> None:
        """Sends the status to addresses of other instances."""
        self._send(Hello(self._read_status(), self._directory.digest), hosts)

    def contact(self, hosts: list[str]) -> None:
        """Sends the status and a sample of the members to addresses of other instances."""
        members = self._directory.sample_members(self._clock.now_ms())
        self._send(Hello(self._read_status(), self._directory.digest, members), hosts)

    def _choose_gossip_hosts(self) -> list[str]:
        """Returns the address of a random peer or, with SEED_PROBABILITY, of a random seed.

        A seed also replaces the random peer if there is none. While no other instance is known, all
        seeds are returned.
        """
        chosen = self._directory.choose_random_peer()
        if self._directory.count_members() == 1:
            return list(self._seeds)
        if self._seeds and (chosen is None or self._rng.random() < SEED_PROBABILITY):
            return [self._rng.choice(self._seeds)]
        return [chosen.host] if chosen else []

    def _send(self, message: PeerMessage, hosts: list[str]) -> None:
        if hosts:
            datagram = encode_message(message)
            is_report = isinstance(message, Report)
            kind = TrafficKind.REPORTS if is_report else TrafficKind.MEMBERSHIP
            for host in hosts:
                self._traffic.record(kind, self._directory.is_remote_host(host), len(datagram))
                self._udp.send(datagram, Endpoint(host, self._port))

    def send_report(self, report: Report, hosts: list[str]) -> None:
        """Sends a report to the given addresses."""
        self._send(report, hosts)

    def _receive(self, datagram: bytes, sender: Endpoint) -> None:
        now_ms = self._clock.now_ms()
        try:
            message = decode_message(datagram)
        except MessageError as error:
            self.malformed_count += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                "peers: %d bytes from %s are no message (%d so far): %s",
                MALFORMED_LOG_INTERVAL_S,
                len(datagram),
                sender.host,
                self.malformed_count,
                error,
            )
            return
        self._handle(message, sender, now_ms)

    def _handle(self, message: PeerMessage, sender: Endpoint, now_ms: int) -> None:
        if isinstance(message, LoadReport):
            self._on_load_report(message, now_ms)
            return
        if isinstance(message, RoomSummary):
            self._on_room_summary(message, now_ms)
            return
        if isinstance(message, UnreachableReport):
            self._on_unreachable_report(message, now_ms)
            return
        if isinstance(message, RestartMessage):
            self._on_restart_message(message, now_ms)
            return
        if isinstance(message, SourceCheckRequest):
            self._on_source_check_request(sender.host)
            return
        if isinstance(message, FlowAnnouncement):
            answer = self._on_flow_announcement(message, now_ms)
            if answer is not None:
                self._send(answer, [sender.host])
            return
        if isinstance(message, FlowLocation):
            self._on_flow_location(message, sender.host, now_ms)
            return
        self._directory.apply_message(message, now_ms)
        if isinstance(message, Hello):
            members = self._directory.list_members_for_reply(message, now_ms)
            self._send(HelloReply(self._read_status(), members), [sender.host])
