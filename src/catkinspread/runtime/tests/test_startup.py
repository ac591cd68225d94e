"""Tests of starts that fail, and of the environment that the program is started in."""

import contextlib
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from catkinspread.runtime.exit_status import ExitStatus
from catkinspread.runtime.tests.program import PROGRAM, TIMEOUT_S, Program
from catkinspread.sockets import find_free_ports

# Each run of the tests has an address of its own, so that runs at the same time do not meet.
_HOST = f"127.242.{random.SystemRandom().randint(1, 254)}.{os.getpid() % 254 + 1}"
_MIB = 1_048_576
_MEMORY_LIMIT_MIB = 300


@pytest.fixture(name="program")
def _make_program(tmp_path: pathlib.Path) -> Iterator[Program]:
    program = Program(tmp_path, _HOST)
    yield program
    program.stop()


def _expect_failed_start(program: Program, status: ExitStatus) -> str:
    """Checks status and lines of a failed start; returns the detail."""
    assert program.process is not None
    assert program.process.wait(TIMEOUT_S) == status, program.describe()
    line = program.read_events()[-1]
    assert line["event"] == "start_failed"
    assert (line["cause"], line["status"]) == (status.name.lower(), status.value)
    assert program.error_path.read_text().count("\n") == 1, program.error_path.read_text()
    return line["detail"]


def _serves(program: Program) -> bool:
    """Returns whether the program listens for the readiness check."""
    host, port = program.readiness_address
    with contextlib.suppress(OSError), socket.create_connection((host, port), 1):
        return True
    return False


def _stop_gracefully(program: Program) -> None:
    assert program.process is not None
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(TIMEOUT_S) == 0, program.describe()


def test_missing_settings_file_is_named(program: Program) -> None:
    """Guards against a failed start without a log line that names the file."""
    program.settings_path.unlink()
    program.start()
    detail = _expect_failed_start(program, ExitStatus.SETTINGS_INVALID)
    assert str(program.settings_path) in detail


def test_packet_address_in_use_is_named_after_several_attempts(program: Program) -> None:
    """Guards against a failed start that names neither the address nor the reason."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(program.packet_address)
        program.start()
        detail = _expect_failed_start(program, ExitStatus.PACKET_ADDRESS_UNAVAILABLE)
    assert f"{_HOST}:{program.packet_address[1]}" in detail
    assert "Address already in use" in detail
    assert program.has_logged("packet_address_retry")


def test_packet_address_that_becomes_free_is_used(program: Program) -> None:
    """Guards against an end because the process before this one has not ended yet."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(program.packet_address)
        program.start()
        program.wait_for(lambda: program.has_logged("packet_address_retry"))
    program.wait_for(lambda: program.has_logged("started"))


def test_packet_address_of_another_machine_is_named(program: Program) -> None:
    """Guards against a failed start without a line where the interface has no such address."""
    program.write_settings(packet_address="192.0.2.1:8172")
    program.start()
    detail = _expect_failed_start(program, ExitStatus.PACKET_ADDRESS_UNAVAILABLE)
    assert "192.0.2.1:8172" in detail


@pytest.mark.parametrize("module", ["msgspec", "anyio"], ids=["before the socket", "after it"])
def test_missing_module_is_named(program: Program, tmp_path: pathlib.Path, module: str) -> None:
    """Guards against a traceback in place of the module and of what to do."""
    (tmp_path / module).mkdir()
    (tmp_path / module / "__init__.py").write_text(f"import {module}._of_another_platform\n")
    environment = {
        "PYTHONPATH": str(tmp_path),
        "CATKINSPREAD_CONFIG": str(program.settings_path),
    }
    program.start(env=environment)
    detail = _expect_failed_start(program, ExitStatus.PROGRAM_NOT_LOADED)
    assert f"module {module}._of_another_platform cannot be loaded" in detail
    assert "run the build again" in detail


def test_dependencies_beside_the_program_are_found(tmp_path: pathlib.Path) -> None:
    """Guards against a start that depends on a module path set by the caller.

    -S and -I leave out the modules of the virtual environment and the variables of Python.
    """
    (tmp_path / "app").mkdir()
    (tmp_path / "deps" / "catkinspread" / "runtime").mkdir(parents=True)
    shutil.copy(PROGRAM, tmp_path / "app")
    (tmp_path / "deps" / "catkinspread" / "runtime" / "main.py").write_text(
        "def main(_):\n    return 7\n"
    )
    script = str(tmp_path / "app" / "instance.py")
    command = [sys.executable, "-I", "-S", script]
    assert subprocess.run(command, timeout=TIMEOUT_S, check=False).returncode == 7


def test_unexpected_error_is_logged_in_one_line(program: Program, tmp_path: pathlib.Path) -> None:
    """Guards against an end whose only trace is the traceback of a task group."""
    (tmp_path / "sitecustomize.py").write_text(
        "import asyncio\n"
        "async def fail():\n"
        "    raise ValueError('a reason')\n"
        "async def run():\n"
        "    async with asyncio.TaskGroup() as group:\n"
        "        group.create_task(fail())\n"
        "import anyio\n"
        "anyio.run = lambda _: asyncio.run(run())\n"
    )
    environment = {
        "PYTHONPATH": str(tmp_path),
        "CATKINSPREAD_CONFIG": str(program.settings_path),
    }
    process = program.start(env=environment)
    assert process.wait(TIMEOUT_S) == ExitStatus.UNEXPECTED_ERROR, program.describe()
    line = program.read_events()[-1]
    assert line["event"] == "ended_by_error"
    assert line["errors"] == [f"ValueError: a reason at {tmp_path}/sitecustomize.py:3"]
    first_line = program.error_path.read_text().splitlines()[0]
    assert first_line == f"ended by {line['errors'][0]}"


def _close_standard_streams() -> None:
    os.closerange(0, 3)


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))


def _limit_address_space() -> None:
    resource.setrlimit(resource.RLIMIT_AS, (_MEMORY_LIMIT_MIB * _MIB,) * 2)


@pytest.mark.parametrize(
    "before", [_close_standard_streams, _limit_descriptors, _limit_address_space]
)
def test_program_serves_with_closed_streams_and_limits(
    program: Program, before: Callable[[], None]
) -> None:
    """Guards against an end by a missing stream or a limit of the machine."""
    process = program.start(before=before)
    program.wait_for(lambda: _serves(program))
    for descriptor in range(3):
        target = os.readlink(f"/proc/{process.pid}/fd/{descriptor}")
        assert not target.startswith("socket:")
    _stop_gracefully(program)


def test_program_serves_without_variables_in_a_read_only_folder(
    program: Program, tmp_path: pathlib.Path
) -> None:
    """Guards against a need for PATH, HOME, LANG or a folder that can be written to."""
    folder = tmp_path / "read-only"
    folder.mkdir(mode=0o500)
    program.start(env={"CATKINSPREAD_CONFIG": str(program.settings_path)}, cwd=folder)
    program.wait_for(lambda: _serves(program))
    _stop_gracefully(program)


def _make_full_pipe() -> tuple[int, int]:
    """Returns the reading and the writing end of a pipe that blocks the next write."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, bytes(4_096))
    os.set_blocking(writer, True)
    return reader, writer


@pytest.mark.parametrize("has_reader", [False, True], ids=["closed", "full"])
def test_program_serves_with_pipes_that_nobody_reads(program: Program, has_reader: bool) -> None:
    """Guards against an end, a block or another status by output that cannot be written."""
    reader, writer = _make_full_pipe()
    if not has_reader:
        os.close(reader)
    program.start(stdout=writer, stderr=writer)
    os.close(writer)
    program.wait_for(lambda: _serves(program))
    _stop_gracefully(program)
    if has_reader:
        os.close(reader)


def test_failed_start_ends_with_a_full_pipe_of_standard_error(program: Program) -> None:
    """Guards against a process that neither serves nor ends, so that nothing restarts it."""
    reader, writer = _make_full_pipe()
    program.settings_path.unlink()
    process = program.start(stderr=writer)
    os.close(writer)
    assert process.wait(TIMEOUT_S) == ExitStatus.SETTINGS_INVALID
    assert program.read_events()[-1]["event"] == "start_failed"
    os.close(reader)


def test_program_serves_with_output_on_a_full_disk(program: Program) -> None:
    """Guards against an end by a log line that the disk has no space for."""
    with open("/dev/full", "wb", buffering=0) as full:
        program.start(stdout=full, stderr=full)
    program.wait_for(lambda: _serves(program))
    _stop_gracefully(program)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2, signal.SIGPIPE])
def test_signals_while_the_program_loads_do_not_end_it(
    program: Program, number: signal.Signals
) -> None:
    """Guards against an end by a signal that is sent to all processes of a machine.

    The packet socket shows that the first lines of the program have run.
    """
    process = program.start()
    program.wait_for(lambda: _is_bound(program))
    while not program.has_logged("started"):
        assert process.poll() is None, program.describe()
        process.send_signal(number)
        time.sleep(0.01)
    program.wait_for(lambda: _serves(program))
    process.send_signal(number)
    _stop_gracefully(program)


def _is_bound(program: Program) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind(program.packet_address)
        except OSError:
            return True
    return False


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_while_the_program_loads_ends_it_without_an_error(
    program: Program, number: signal.Signals
) -> None:
    """Guards against a stop that looks like a fault, or is lost."""
    process = program.start()
    program.wait_for(lambda: _is_bound(program))
    process.send_signal(number)
    assert process.wait(TIMEOUT_S) in (0, -number)
    assert program.error_path.read_text() == ""


@pytest.mark.parametrize(
    "answer",
    [
        None,
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"\x00" * 4_096,
        b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 40_000,
    ],
    ids=["hangs", "closes", "half", "malformed", "upgrade", "noise", "long head"],
)
def test_store_that_answers_wrongly_does_not_end_the_program(
    program: Program, answer: bytes | None
) -> None:
    """Guards against an end by a store that hangs, closes, or sends what is no answer."""
    with socket.socket() as listener:
        listener.bind((_HOST, find_free_ports(1)[0]))
        listener.listen()
        listener.settimeout(TIMEOUT_S)
        host, port = listener.getsockname()
        program.write_settings(source_address=f"{host}:{port}")
        program.start()
        with contextlib.ExitStack() as connections:
            for _ in range(3):
                connection = connections.enter_context(listener.accept()[0])
                if answer is not None:
                    with contextlib.suppress(OSError):
                        connection.recv(65_536)
                        connection.sendall(answer)
                        connection.close()
            program.wait_for(lambda: _serves(program) and program.has_logged("source_lost"))
            _stop_gracefully(program)


def _send_endless_answers(listener: socket.socket) -> None:
    """Answers each connection without an end, until the listener is closed."""

    def send(connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
            while True:
                connection.sendall(chunk)

    with contextlib.suppress(OSError):
        while True:
            connection = listener.accept()[0]
            threading.Thread(target=send, args=(connection,), daemon=True).start()


def _read_peak_memory_mib(process_id: int) -> int:
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) // 1_024


def test_endless_answers_of_the_store_do_not_fill_the_memory(program: Program) -> None:
    """Guards against an instance that is killed because of its memory."""
    with socket.socket() as listener:
        listener.bind((_HOST, 0))
        listener.listen()
        host, port = listener.getsockname()
        program.write_settings(source_address=f"{host}:{port}")
        threading.Thread(target=_send_endless_answers, args=(listener,), daemon=True).start()
        process = program.start(before=_limit_address_space)
        program.wait_for(lambda: _serves(program) and program.has_logged("source_lost"))
        time.sleep(2.0)
        assert _read_peak_memory_mib(process.pid) < _MEMORY_LIMIT_MIB // 2
        _stop_gracefully(program)
        listener.shutdown(socket.SHUT_RDWR)
