"""Tests of starts that fail, and of the environment that the program is started in."""

import contextlib
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator

import pytest

from catkinspread.runtime.exit_status import ExitStatus
from catkinspread.runtime.tests.program import PROGRAM, TIMEOUT_S, Program

# The program listens on a fixed port for metrics, so the tests have an address of their own.
_HOST = "127.242.0.1"
_MIB = 1_048_576


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
