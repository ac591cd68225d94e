"""Checks of upstreams by real connections on loopback."""

import socket
from collections.abc import Iterator

import anyio
import msgspec
import pytest

from catkinspread.clock import Clock, ManualClock, SystemClock
from catkinspread.deployment import KnownUpstream
from catkinspread.forwarding import UpstreamCheck
from catkinspread.forwarding.tests.builders import build_upstream
from catkinspread.runtime.upstream_checks import UpstreamChecker

_TIMEOUT_S = 5


class _Host:
    """A listening socket and a port that refuses connections."""

    def __init__(self) -> None:
        self._server = socket.create_server(("127.0.0.1", 0))
        self.open_port = self._server.getsockname()[1]
        with socket.create_server(("127.0.0.1", 0)) as closed:
            self.closed_port = closed.getsockname()[1]

    def close(self) -> None:
        self._server.close()


@pytest.fixture(name="host")
def _open_host() -> Iterator[_Host]:
    host = _Host()
    yield host
    host.close()


def _build(port: int) -> KnownUpstream:
    record = msgspec.structs.replace(build_upstream("a"), host="127.0.0.1", port=port)
    return KnownUpstream(record, 0)


def _check(port: int, control_port: int, clock: Clock) -> bool | None:
    async def run() -> bool | None:
        results: list[bool | None] = []
        checker = UpstreamChecker(lambda _, is_reachable, __: results.append(is_reachable), clock)
        with anyio.fail_after(_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(checker.run)
                checker.request(UpstreamCheck(_build(port), _build(control_port)))
                while not results:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
        return results[0]

    return anyio.run(run)


def test_upstream_is_reachable_while_a_socket_listens(host: _Host) -> None:
    """Guards against taking a busy upstream for a dead one: the socket never accepts."""
    assert _check(host.open_port, host.closed_port, SystemClock()) is True


def test_refused_connection_is_a_failed_check(host: _Host) -> None:
    """Guards against an upstream whose process has ended and that counts as reachable."""
    assert _check(host.closed_port, host.open_port, SystemClock()) is False


def test_check_proves_nothing_while_the_control_fails_too(host: _Host) -> None:
    """Guards against resets where no upstream accepts connections, or a link of ours is down."""
    assert _check(host.closed_port, host.closed_port, SystemClock()) is None


class _JumpingClock(ManualClock):
    """Advances by 10 s with each reading, as if the process were paused."""

    def now_ms(self) -> int:
        return self.advance(10_000)


def test_check_during_a_pause_of_the_process_proves_nothing(host: _Host) -> None:
    """Guards against resets because the instance itself was paused during a check."""
    assert _check(host.closed_port, host.open_port, _JumpingClock()) is None


def test_check_that_cannot_be_made_proves_nothing_and_ends_no_other(host: _Host) -> None:
    """Guards against an address that no socket can have, which raises OverflowError."""
    assert _check(99_999, host.open_port, SystemClock()) is None
