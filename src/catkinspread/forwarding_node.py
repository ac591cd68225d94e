"""Runs a forwarding instance: the composition root of the packet path.

It wires the decisions to the platform's adapters and owns the order of start and stop.
"""

import random
import signal

import anyio

from catkinspread.clock import Clock, SystemClock
from catkinspread.deployment import (
    DeploymentState,
    SourceHealth,
    StateApplier,
    Synchroniser,
    SynchroniserSettings,
)
from catkinspread.eventlog import EventLog, LineWriter
from catkinspread.forwarding import (
    CallerPacket,
    ColdBudget,
    DecisionLog,
    Forwarder,
    LoadBook,
    Placement,
)
from catkinspread.platform import (
    PacketPort,
    ReadinessServer,
    StoreClient,
    read_request_id,
)
from catkinspread.settings.forwarding import ForwardingSettings

# Routers leave out an instance after two missed checks, one every 500 ms.
LEAVE_NOTICE_MS = 1_300
LEAVE_QUIET_MS = 400
# The platform kills the process at the end of its grace time.
LEAVE_MARGIN_MS = 800
SWEEP_INTERVAL_MS = 500
WAIT_MS = 10_000
PAUSE_MS = 100
_TICK_MS = 10
_MS_PER_S = 1_000


class ForwardingNode:
    """One running instance.

    Args:
        settings: Settings of the instance.
        clock: Source of the time.
    """

    def __init__(self, settings: ForwardingSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = random.Random()
        self._events = EventLog(settings.name, LineWriter(), clock)
        self._state = DeploymentState()
        self._health = SourceHealth()
        self._loads = LoadBook()
        self._is_leaving = False
        self._port = PacketPort(settings.packet_address, self._handle, clock)
        self._readiness = ReadinessServer(settings.readiness_address, self._is_ready)
        self._forwarder = self._build_forwarder()

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT and leaves gracefully."""
        self._events.write_always("started", self._clock.now_ms())
        async with (
            StoreClient(self._settings.source_address) as store,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._port.run)
            group.start_soon(self._readiness.run)
            group.start_soon(self._build_synchroniser(store).run)
            group.start_soon(self._run_timers)
            await self._wait_for_stop()
            await self._leave()
            group.cancel_scope.cancel()
        self._events.write_always(
            "stopped", self._clock.now_ms(), dropped_lines_total=self._events.dropped_count
        )

    def _build_forwarder(self) -> Forwarder:
        budget = ColdBudget(instances=9, rng=self._rng)
        placement = Placement(
            self._settings.data_centre, self._state, self._loads, budget, self._rng
        )
        log = DecisionLog(self._events, self._state)
        return Forwarder(self._state, placement, self._loads, self._port, log, read_request_id)

    def _build_synchroniser(self, store: StoreClient) -> Synchroniser:
        heartbeat_ms = self._settings.heartbeat_ms
        return Synchroniser(
            store,
            StateApplier(self._state, self._events, heartbeat_ms),
            self._health,
            SynchroniserSettings(WAIT_MS, PAUSE_MS, heartbeat_ms),
            self._events,
            self._clock,
            self._rng,
        )

    def _handle(self, packet: CallerPacket, now_ms: int) -> None:
        if self._state.configuration is None:
            return
        self._forwarder.handle(packet, now_ms)

    def _is_ready(self) -> bool:
        return self._state.is_complete and not self._is_leaving

    async def _run_timers(self) -> None:
        sweep_at_ms = 0
        while True:
            now_ms = self._clock.now_ms()
            self._forwarder.run_due(now_ms)
            if now_ms >= sweep_at_ms:
                self._forwarder.sweep(now_ms)
                self._state.expire(now_ms, self._health.available_since_ms)
                sweep_at_ms = now_ms + SWEEP_INTERVAL_MS
            await anyio.sleep(_TICK_MS / _MS_PER_S)

    async def _wait_for_stop(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                return

    async def _leave(self) -> None:
        """Tells the routers and forwards until they send nothing more."""
        started_ms = self._clock.now_ms()
        self._is_leaving = True
        self._events.write_always("leaving", started_ms, flows=self._forwarder.flow_count)
        end_ms = started_ms + self._settings.grace_ms - LEAVE_MARGIN_MS
        while self._clock.now_ms() < end_ms:
            now_ms = self._clock.now_ms()
            quiet_ms = now_ms - self._port.last_packet_at_ms
            if now_ms - started_ms >= LEAVE_NOTICE_MS and quiet_ms >= LEAVE_QUIET_MS:
                return
            await anyio.sleep(_TICK_MS / _MS_PER_S)


def run_forwarding_node(settings: ForwardingSettings) -> None:
    """Runs an instance in an event loop of its own."""
    anyio.run(ForwardingNode(settings, SystemClock()).run)
