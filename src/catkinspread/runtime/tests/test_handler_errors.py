"""Tests of errors in the handling of packets and messages while an instance runs and stops."""

import os
import signal
import socket
from collections.abc import Awaitable, Callable

import anyio
import pytest

from catkinspread.clock import SystemClock
from catkinspread.forwarding import Forwarder
from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.httpclient import HttpClient
from catkinspread.model import Endpoint
from catkinspread.peers import PeerExchange
from catkinspread.platform.tests.test_packets import OPENING
from catkinspread.runtime.instance import ForwardingInstance
from catkinspread.runtime.metrics import METRICS_PATH
from catkinspread.runtime.settings import ForwardingSettings
from catkinspread.sockets import find_free_ports

_HOST = "127.241.0.9"
_TIMEOUT_S = 20
_TIMEOUT_MS = 2_000
# Longer than the shortest shutdown, plus the margin before the platform kills the process.
_GRACE_MS = 2_400


def _fail(*_: object) -> None:
    raise LookupError("not found")


def _build_settings() -> ForwardingSettings:
    packet_port, readiness_port, peer_port, metrics_port = find_free_ports(4)
    return ForwardingSettings(
        name="one",
        data_centre="east",
        is_first_start=False,
        packet_address=Endpoint(_HOST, packet_port),
        readiness_address=Endpoint(_HOST, readiness_port),
        peer_port=peer_port,
        metrics_port=metrics_port,
        grace_ms=_GRACE_MS,
        flow_lifetime_max_ms=60_000,
        seeds=(),
        source_address=Endpoint(_HOST, 1),
        heartbeat_ms=1_000,
    )


def _play(scenario: Callable[[ForwardingSettings, LineRecorder], Awaitable[None]]) -> LineRecorder:
    """Runs an instance and a scenario, then stops the instance; returns its log."""
    settings, lines = _build_settings(), LineRecorder()

    async def run() -> None:
        with anyio.fail_after(_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                instance = ForwardingInstance(settings, lambda: settings, SystemClock(), lines)
                group.start_soon(instance.run)
                await anyio.sleep(0.2)
                await scenario(settings, lines)
                os.kill(os.getpid(), signal.SIGTERM)

    anyio.run(run)
    return lines


def test_error_of_the_last_hello_does_not_cut_the_shutdown_short(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against open flows that break off because other instances cannot be told of the end."""
    monkeypatch.setattr(PeerExchange, "send_hello", _fail)

    async def wait(_: ForwardingSettings, __: LineRecorder) -> None:
        pass

    log = b"".join(_play(wait).lines)
    assert b'"event":"leaving"' in log
    assert b'"event":"stopped"' in log


def test_packets_whose_handling_fails_are_on_the_metrics_page(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that serves no caller without a metric that tells so."""
    monkeypatch.setattr(Forwarder, "handle", _fail)
    page = b""

    async def send_packet(settings: ForwardingSettings, _: LineRecorder) -> None:
        nonlocal page
        await anyio.sleep(1.2)  # The packet port is served after a second without a state.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
            caller.sendto(OPENING, (settings.packet_address.host, settings.packet_address.port))
        await anyio.sleep(0.1)
        async with HttpClient() as client:
            endpoint = Endpoint(_HOST, settings.metrics_port)
            answer = await client.get(endpoint, METRICS_PATH, {}, _TIMEOUT_MS, _TIMEOUT_MS)
            page = answer.body

    _play(send_packet)
    assert b'catkinspread_events_total{event="failed_packet"} 1.0' in page
