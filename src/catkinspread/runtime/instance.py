"""Composition root of a forwarding instance.

It connects the forwarding logic to the adapters of the platform and controls startup and shutdown.
"""

import functools
import random
import signal
import socket
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc

from catkinspread.clock import Clock
from catkinspread.deployment import (
    DeploymentState,
    SourceHealth,
    StateApplier,
    StateKind,
    Synchroniser,
    SynchroniserSettings,
)
from catkinspread.eventlog import EventLog, LineSink
from catkinspread.forwarding import (
    CallerPacket,
    ColdStartLimiter,
    DecisionLog,
    Forwarder,
    LoadTracker,
    LocalAvailability,
    Placement,
)
from catkinspread.httpclient import HttpClient
from catkinspread.model import Endpoint
from catkinspread.peers import (
    FEED_REQUEST_MAX_BYTES,
    UNKNOWN_INSTANCE_COUNT,
    FeedServer,
    FlowAnnouncement,
    FlowLocation,
    Member,
    MemberStatus,
    PeerDirectory,
    PeerDiscovery,
    PeerExchange,
    PeerSource,
    RestartMessage,
    SharedSource,
    StateCache,
    UnreachableReport,
)
from catkinspread.platform import (
    PacketPort,
    ReadinessServer,
    RefusalLog,
    StoreClient,
    StoreContactRegistry,
    read_request_id,
)
from catkinspread.runtime.admission_parts import AdmissionParts
from catkinspread.runtime.flow_announcer import FlowAnnouncer
from catkinspread.runtime.flow_messages import apply_announcement, apply_location
from catkinspread.runtime.flow_metrics import list_flow_metrics
from catkinspread.runtime.graceful_shutdown import wait_until_unused
from catkinspread.runtime.isolation import IsolationCheck
from catkinspread.runtime.load_reports import LoadReporter
from catkinspread.runtime.metrics import (
    METRICS_CONNECTIONS_MAX,
    METRICS_REQUEST_MAX_BYTES,
    LabelledMetric,
    MetricsPage,
)
from catkinspread.runtime.pauses import PauseDetector
from catkinspread.runtime.periodic_tasks import PeriodicTasks
from catkinspread.runtime.reloader import SettingsReloader
from catkinspread.runtime.restart_reports import RestartReporter
from catkinspread.runtime.settings import ForwardingSettings
from catkinspread.runtime.source_digest import read_source_digest
from catkinspread.runtime.startup_times import StartupTimes
from catkinspread.runtime.upstream_monitor import UpstreamMonitor
from catkinspread.supervision import FailureLog, Part, Supervisor
from catkinspread.transport.http_server import ACCEPT_RETRY_DELAY_MS, HttpServer
from catkinspread.transport.traffic import TrafficKind, TrafficMeter

CLEANUP_INTERVAL_MS = 500
# Interval between the lines with the traffic and the calls to the source so far.
TRAFFIC_LOG_INTERVAL_MS = 10_000
# Longest time that packets are queued in the socket while the deployment state is incomplete;
# callers give up opening a flow after 1.4 s.
INITIAL_STATE_WAIT_MS = 1_000
INITIAL_STATE_POLL_INTERVAL_MS = 5
LONG_POLL_WAIT_MS = 10_000
# Delay after a long poll that returned changes, so that the next one returns several changes at once:
# upstreams report often while many of them are replaced. The delay is acceptable, because drains and
# configuration changes may take seconds to apply.
SYNC_PAUSE_MS = 300
# Intervals between the reports of upstreams after which a restored source counts as complete. The
# record of an upstream that has left, which the copy may hold, expires after three of them.
SETTLING_HEARTBEATS = 4
_MS_PER_S = 1_000


class ForwardingInstance:
    """Wires and runs all components of one forwarding process.

    `run` must be called only once.

    Args:
        settings: Settings of the instance.
        read_settings: Reads the settings file.
        clock: Source of the time.
        sink: Destination of the log lines.
        packet_socket: UDP socket bound to `settings.packet_address`; None to open one.
        startup: Times of the startup; None if it begins now.
    """

    __slots__ = (
        "_admission",
        "_cache",
        "_clock",
        "_cold_start_limiter",
        "_direct_source_health",
        "_directory",
        "_events",
        "_exchange",
        "_failures",
        "_flow_announcer",
        "_forwarder",
        "_is_leaving",
        "_isolation",
        "_loads",
        "_local_availability",
        "_member",
        "_packet_port",
        "_pauses",
        "_refusals",
        "_reloader",
        "_reporter",
        "_restarts",
        "_rng",
        "_settings",
        "_settling_ms",
        "_source_digest",
        "_startup",
        "_state",
        "_supervisor",
        "_synchroniser_health",
        "_traffic",
        "_upstream_monitor",
    )

    def __init__(
        self,
        settings: ForwardingSettings,
        read_settings: Callable[[], ForwardingSettings],
        clock: Clock,
        sink: LineSink,
        packet_socket: socket.socket | None = None,
        startup: StartupTimes | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._startup = startup or StartupTimes(clock.now_ms())
        self._source_digest = read_source_digest()
        self._rng = random.Random()
        self._events = EventLog(settings.name, sink, clock)
        self._failures = FailureLog(self._events)
        self._supervisor = Supervisor(self._failures, clock, self._rng)
        self._refusals = RefusalLog(self._events, clock)
        self._state = DeploymentState(settings.flow_lifetime_max_ms)
        # Health of all calls of the synchroniser, including those answered by feeders.
        self._synchroniser_health = SourceHealth()
        # Health of the calls to the source itself.
        self._direct_source_health = SourceHealth()
        self._settling_ms = SETTLING_HEARTBEATS * settings.heartbeat_ms
        self._cache = StateCache(self._settling_ms)
        self._loads = LoadTracker()
        self._traffic = TrafficMeter()
        self._is_leaving = False
        self._pauses = PauseDetector(clock.now_ms(), self._handle_pause)
        self._local_availability = LocalAvailability(settings.data_centre, self._state)
        host = settings.packet_address.host
        self._member = Member(settings.name, settings.data_centre, host, clock.now_ms())
        self._directory = PeerDirectory(self._member, self._rng)
        self._reporter = LoadReporter(
            self._member, self._state, self._loads, self._directory, self._rng
        )
        self._admission = AdmissionParts(
            self._member,
            settings.admission,
            self._state,
            self._loads,
            self._directory,
            self._events,
            self._rng,
        )
        self._packet_port = PacketPort(
            settings.packet_address,
            self._handle_packet,
            clock,
            packet_socket,
            settings.data_centre,
            self._traffic,
        )
        self._exchange = self._build_exchange()
        self._flow_announcer = FlowAnnouncer(self._directory, self._exchange, clock, self._rng)
        self._reloader = SettingsReloader(
            settings, read_settings, self._exchange, self._events, clock
        )
        self._isolation = IsolationCheck(self._local_availability, self._directory, self._events)
        self._restarts = RestartReporter(
            settings.name, self._state, self._directory, self._exchange, self._events, clock
        )
        self._cold_start_limiter = ColdStartLimiter(UNKNOWN_INSTANCE_COUNT, self._rng)
        self._forwarder = self._build_forwarder()
        self._upstream_monitor = self._build_upstream_monitor()

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then shuts down gracefully."""
        # The handlers stay until the end, so that further signals do not end a shutdown early.
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            now_ms = self._clock.now_ms()
            loading_ms = now_ms - self._startup.opened_at_ms
            self._events.write_always(
                "started", now_ms, loading_ms=loading_ms, source=self._source_digest
            )
            await self._run_components(signals)
        self._events.write_always(
            "stopped", self._clock.now_ms(), dropped_lines_total=self._events.dropped_count
        )

    async def _run_components(self, signals: AsyncIterator[signal.Signals]) -> None:
        async with HttpClient() as client, anyio.create_task_group() as group:
            store = StoreClient(client, self._settings.source_address, self._refusals)
            discovery = self._build_discovery(client, store)
            shared = self._build_shared_source(client, store)
            self._restarts.set_source(shared)
            for part in self._list_parts(store, shared, discovery):
                group.start_soon(self._supervisor.run, part)
            await self._handle_signals_until_stop(signals)
            await self._shut_down()
            group.cancel_scope.cancel()

    def _list_parts(
        self, store: StoreClient, shared: SharedSource, discovery: PeerDiscovery
    ) -> list[Part]:
        """Returns what runs until the end of the process.

        Callers need the packet port. While another part fails, the instance goes on with what it
        knows.
        """
        settings = self._settings
        peers = Endpoint(self._member.host, settings.peer_port)
        metrics = Endpoint(self._member.host, settings.metrics_port)
        readiness = ReadinessServer(
            settings.readiness_address,
            self._is_ready,
            self._build_accept_observer("readiness", settings.readiness_address),
        )
        synchroniser = self._build_synchroniser(shared)
        tasks = self._build_periodic_tasks(shared)
        return [
            Part("packets", self._run_packet_port, str(settings.packet_address), is_required=True),
            Part("peers", self._exchange.run, str(peers)),
            Part("peer_discovery", discovery.run),
            Part("readiness", readiness.run, str(settings.readiness_address)),
            Part("feed", functools.partial(self._build_feed_server(peers).run, peers), str(peers)),
            Part(
                "metrics",
                functools.partial(self._build_metrics_server(metrics).run, metrics),
                str(metrics),
            ),
            Part("upstream_checks", self._upstream_monitor.run_checks),
            Part(
                "source_checks",
                functools.partial(shared.run_checks, self._restarts.tell_source_answer),
            ),
            Part("restart_checks", self._restarts.run_checks),
            Part("traffic_log", functools.partial(self._log_traffic, store)),
            Part("periodic_tasks", tasks.run),
            *(
                Part(f"state_{kind.value}", functools.partial(synchroniser.run_kind, kind))
                for kind in StateKind
            ),
        ]

    def _build_periodic_tasks(self, shared: SharedSource) -> PeriodicTasks:
        tasks = PeriodicTasks(
            self._clock, self._supervisor, self._pauses, self._forwarder.get_next_retry_at_ms
        )
        tasks.add("opening_retries", self._forwarder.send_due_retries)
        tasks.add("flow_adoption", self._forwarder.adoption.adopt_due)
        tasks.add("flow_handover", self._flow_announcer.handover.send_due)
        tasks.add("upstream_monitor", self._upstream_monitor.update)
        tasks.add("restarts", self._restarts.tracker.update)
        tasks.add("load_reports", self._send_load_report)
        self._admission.add_tasks(tasks, self._exchange.send_report)
        tasks.add("isolation_check", self._isolation.update)
        tasks.add("instance_count", self._update_instance_count)
        tasks.add("feeder_choice", lambda _: shared.update_feeder())
        tasks.add("flow_expiry", self._forwarder.expire_flows, CLEANUP_INTERVAL_MS)
        tasks.add("local_availability", self._local_availability.update, CLEANUP_INTERVAL_MS)
        tasks.add("report_expiry", self._loads.expire_reports, CLEANUP_INTERVAL_MS)
        tasks.add(
            "upstream_expiry",
            lambda now_ms: self._upstream_monitor.expire(now_ms, shared.find_answered_span()),
            CLEANUP_INTERVAL_MS,
        )
        tasks.add("member_expiry", self._expire_members, CLEANUP_INTERVAL_MS)
        return tasks

    def _build_accept_observer(
        self, part: str, endpoint: Endpoint
    ) -> Callable[[OSError | None], None]:
        """Returns a function that logs and counts connections that a part cannot accept."""

        def observe(error: OSError | None) -> None:
            now_ms = self._clock.now_ms()
            if error is None:
                self._failures.record_success(part, now_ms)
            else:
                self._failures.record_failure(
                    part, error, now_ms, str(endpoint), ACCEPT_RETRY_DELAY_MS
                )

        return observe

    def _build_feed_server(self, endpoint: Endpoint) -> HttpServer:
        return HttpServer(
            FeedServer(self._cache).answer,
            FEED_REQUEST_MAX_BYTES,
            "feed",
            on_accept=self._build_accept_observer("feed", endpoint),
        )

    def _build_metrics_server(self, endpoint: Endpoint) -> HttpServer:
        page = MetricsPage(
            self._read_counts,
            self._read_gauges,
            self._read_labelled,
            self._forwarder.histograms,
            self._failures,
            self._source_digest,
        )
        return HttpServer(
            page.answer,
            METRICS_REQUEST_MAX_BYTES,
            "metrics",
            on_accept=self._build_accept_observer("metrics", endpoint),
            connections_max=METRICS_CONNECTIONS_MAX,
        )

    def _build_forwarder(self) -> Forwarder:
        placement = Placement(
            self._settings.data_centre,
            self._state,
            self._loads,
            self._cold_start_limiter,
            self._rng,
            self._restarts.tracker,
        )
        log = DecisionLog(self._events, self._state)
        return Forwarder(
            self._state,
            placement,
            self._loads,
            self._local_availability,
            self._packet_port,
            log,
            read_request_id,
            self._flow_announcer,
            self._admission.policy,
            self._restarts.tracker,
        )

    def _build_upstream_monitor(self) -> UpstreamMonitor:
        return UpstreamMonitor(
            self._settings.name,
            self._state,
            self._synchroniser_health,
            self._forwarder,
            self._directory,
            self._exchange,
            self._events,
            self._clock,
        )

    def _apply_unreachable_report(self, report: UnreachableReport, now_ms: int) -> None:
        self._upstream_monitor.apply_report(report, now_ms)

    def _apply_restart_message(self, message: RestartMessage, now_ms: int) -> None:
        self._restarts.apply_message(message, now_ms)

    def _request_source_check(self, host: str) -> None:
        self._restarts.request_source_check(host)

    def _apply_flow_announcement(
        self, announcement: FlowAnnouncement, now_ms: int
    ) -> FlowLocation | None:
        uptime_ms = now_ms - self._member.started_ms
        return apply_announcement(self._forwarder, announcement, now_ms, uptime_ms)

    def _apply_flow_location(self, answer: FlowLocation, sender_host: str, now_ms: int) -> None:
        apply_location(self._forwarder, answer, sender_host, now_ms)

    def _build_exchange(self) -> PeerExchange:
        return PeerExchange(
            self._member,
            self._settings.peer_port,
            tuple(seed.host for seed in self._settings.seeds),
            self._directory,
            self._read_status,
            lambda: self._cache.is_complete,
            self._reporter.apply_report,
            self._apply_unreachable_report,
            self._apply_restart_message,
            self._request_source_check,
            self._apply_flow_announcement,
            self._apply_flow_location,
            self._admission.apply_summary,
            self._traffic,
            self._clock,
            self._rng,
        )

    def _build_discovery(self, client: HttpClient, store: StoreClient) -> PeerDiscovery:
        return PeerDiscovery(
            self._member,
            StoreContactRegistry(client, self._settings.source_address, store.call_counts),
            self._directory,
            self._exchange.contact,
            self._events,
            self._clock,
            self._rng,
        )

    def _build_shared_source(self, client: HttpClient, store: StoreClient) -> SharedSource:
        def open_peer_source(member: Member) -> PeerSource:
            is_remote = member.data_centre != self._settings.data_centre

            def record_bytes(size_bytes: int) -> None:
                self._traffic.record(TrafficKind.STATE, is_remote, size_bytes)

            endpoint = Endpoint(member.host, self._settings.peer_port)
            return PeerSource(client, endpoint, record_bytes)

        return SharedSource(
            store,
            open_peer_source,
            self._directory,
            self._cache,
            self._direct_source_health,
            self._events,
            self._clock,
            self._settings.is_first_start,
        )

    def _build_synchroniser(self, source: SharedSource) -> Synchroniser:
        heartbeat_ms = self._settings.heartbeat_ms
        return Synchroniser(
            source,
            StateApplier(self._state, self._events, heartbeat_ms),
            self._synchroniser_health,
            SynchroniserSettings(LONG_POLL_WAIT_MS, SYNC_PAUSE_MS, self._settling_ms),
            self._events,
            self._clock,
            self._rng,
        )

    def _handle_packet(self, packet: CallerPacket, now_ms: int) -> None:
        self._startup.record_packet(self._events, now_ms)
        self._pauses.check(now_ms)
        self._forwarder.handle(packet, now_ms)

    def _is_ready(self) -> bool:
        return self._state.is_complete and not self._is_leaving and not self._isolation.is_isolated

    def _read_status(self) -> MemberStatus:
        # An instance whose feed does not answer must not be chosen to read the state from.
        can_serve_state = self._cache.is_complete and not self._failures.is_failing("feed")
        return MemberStatus(
            self._member,
            self._direct_source_health.get_last_success_age_ms(self._clock.now_ms()),
            can_serve_state,
            self._is_leaving,
            self._cache.era,
            self._directory.count_known_instances(),
            self._cache.list_changed_revisions(),
        )

    def _read_counts(self) -> dict[str, int]:
        return {
            **self._forwarder.counts,
            **self._admission.read_counts(),
            **{f"bytes_{name}": count for name, count in self._traffic.bytes_by_name.items()},
            "malformed_packet": self._packet_port.malformed_count,
            "malformed_message": self._exchange.malformed_count,
            "failed_packet": self._packet_port.handler_error_count,
            "failed_message": self._exchange.handler_error_count,
            "refused_object": self._refusals.count,
            "announcement_withheld": self._flow_announcer.withheld_count,
            "handover_sent": self._flow_announcer.handover.sent_count,
            "restart_message_sent": self._restarts.sent_count,
            "handover_withheld": self._flow_announcer.handover.withheld_count,
            "dropped_log_line": self._events.dropped_count,
        }

    def _read_gauges(self) -> dict[str, float]:
        configuration = self._state.configuration
        return {
            "flows": self._forwarder.flow_count,
            "members": self._directory.count_members(),
            "instances_estimated": self._directory.estimate_instance_count(self._clock.now_ms()),
            "upstreams": len(self._state.list_upstreams()),
            "configuration_version": configuration.version if configuration else 0,
            "source_era": self._cache.era,
        }

    def _read_labelled(self) -> list[LabelledMetric]:
        flows = list_flow_metrics(
            self._forwarder.placed_by_route,
            self._forwarder.refused_by_route,
            self._settings.data_centre,
        )
        return [*flows, *self._admission.list_metrics(self._clock.now_ms())]

    def _handle_pause(self, pause_ms: int, now_ms: int) -> None:
        """Discards conclusions from a time in which the process was paused.

        Until a call to the source succeeds, no upstream counts as gone: changes that arrived during
        the pause may not have been read yet.
        """
        self._events.write_always("resumed", now_ms, pause_ms=pause_ms)
        self._synchroniser_health.require_new_success()
        self._forwarder.handle_pause(now_ms)

    def _send_load_report(self, now_ms: int) -> None:
        report = self._reporter.build_due_report(now_ms)
        if report is not None:
            self._exchange.send_report(report, self._reporter.choose_recipients())

    def _update_instance_count(self, now_ms: int) -> None:
        instance_count = self._directory.estimate_instance_count(now_ms)
        self._cold_start_limiter.set_instance_count(instance_count)

    def _expire_members(self, now_ms: int) -> None:
        for name in self._directory.expire_members(now_ms):
            self._events.write("instance_lost", now_ms, name=name)

    async def _log_traffic(self, store: StoreClient, *, task_status: anyio.abc.TaskStatus) -> None:
        """Logs the bytes sent and the calls to the source so far at regular intervals."""
        task_status.started()
        while True:
            await anyio.sleep(TRAFFIC_LOG_INTERVAL_MS / _MS_PER_S)
            self._events.write(
                "traffic",
                self._clock.now_ms(),
                bytes=self._traffic.bytes_by_name,
                source_calls=store.call_counts,
            )

    async def _run_packet_port(self, *, task_status: anyio.abc.TaskStatus) -> None:
        """Serves the packet socket once the state is complete, or after a time-out without it."""
        with anyio.move_on_after(INITIAL_STATE_WAIT_MS / _MS_PER_S):
            while not self._state.is_complete:
                await anyio.sleep(INITIAL_STATE_POLL_INTERVAL_MS / _MS_PER_S)
            self._startup.record_state(self._events, self._clock.now_ms())
        await self._packet_port.run(task_status=task_status)

    async def _handle_signals_until_stop(self, signals: AsyncIterator[signal.Signals]) -> None:
        """Reloads the settings at each SIGHUP; returns at SIGTERM or SIGINT.

        At its start it reloads them if they changed while SIGHUP was still ignored.
        """
        self._supervisor.run_step("settings", self._reloader.reload_if_changed)
        async for received in signals:
            if received != signal.SIGHUP:
                return
            self._supervisor.run_step("settings", self._reloader.reload)

    def _hand_over_flows(self) -> None:
        self._forwarder.begin_leaving(self._clock.now_ms())

    async def _shut_down(self) -> None:
        """Reports that the instance is not ready and forwards until no more packets arrive.

        Contested flows are handed over first, because others then no longer wait for the answers of
        this instance to their announcements.
        """
        self._is_leaving = True
        self._supervisor.run_step("last_hello", self._exchange.send_hello)
        self._supervisor.run_step("flow_handover", self._hand_over_flows)
        self._events.write_always("leaving", self._clock.now_ms(), flows=self._forwarder.flow_count)
        await wait_until_unused(
            lambda: self._packet_port.last_packet_at_ms, self._settings.grace_ms, self._clock
        )
