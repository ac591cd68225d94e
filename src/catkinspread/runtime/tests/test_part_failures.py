"""Tests that a part of the program that fails does not end the process."""

import contextlib
import pathlib
import resource
import socket
import time
from collections.abc import Iterator

import pytest

from catkinspread.runtime.tests.program import Program

_HOST = "127.241.0.2"
# The limit leaves some descriptors for the connections of callers of the listeners.
_DESCRIPTORS_MAX = 48
_CONNECTIONS = 60
_WITHOUT_END_S = 2.0


@pytest.fixture(name="program")
def _create_program(tmp_path: pathlib.Path) -> Iterator[Program]:
    program = Program(tmp_path, _HOST)
    yield program
    program.stop()


def _start(program: Program, descriptors_max: int | None = None) -> None:
    def limit_descriptors() -> None:
        if descriptors_max is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors_max, descriptors_max))

    program.start(before=limit_descriptors)
    program.wait_for(lambda: program.has_logged("started"))


def _is_running(program: Program) -> bool:
    return program.process is not None and program.process.poll() is None


def _can_connect(port: int) -> bool:
    try:
        socket.create_connection((_HOST, port), 1).close()
    except OSError:
        return False
    return True


@pytest.mark.parametrize("part", ["metrics", "feed", "readiness"])
def test_port_that_another_process_holds_does_not_end_the_program(
    program: Program, part: str
) -> None:
    """Guards against an instance that ends again and again because one of its ports is taken."""
    port = program.ports[part]
    with socket.create_server((_HOST, port)):
        _start(program)
        program.wait_for(lambda: program.has_logged("part_failed"))
        failure = program.find_events("part_failed")[0]
        assert failure["part"] == part
        assert failure["address"] == f"{_HOST}:{port}"
        assert "Address already in use" in str(failure["reason"])
        time.sleep(_WITHOUT_END_S)
        assert _is_running(program)
    program.wait_for(lambda: program.has_logged("part_recovered"))
    assert _can_connect(port)
    assert _is_running(program)


def test_connections_beyond_the_limit_of_descriptors_do_not_end_the_program(
    program: Program,
) -> None:
    """Guards against an instance that ends because it has no descriptor for a connection."""
    _start(program, _DESCRIPTORS_MAX)
    port = program.ports["readiness"]
    program.wait_for(lambda: _can_connect(port))
    with contextlib.ExitStack() as stack:
        for _ in range(_CONNECTIONS):
            stack.enter_context(socket.create_connection((_HOST, port), 1))
        program.wait_for(lambda: program.has_logged("part_failed"))
        assert "Too many open files" in str(program.find_events("part_failed")[0]["reason"])
        time.sleep(_WITHOUT_END_S)
        assert _is_running(program)
    with socket.create_connection((_HOST, port), 5) as connection:
        connection.sendall(b"GET /catkinspread/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert connection.recv(64).startswith(b"HTTP/1.1 503")
