"""Tests of signals to the program, and of pauses of its process."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable

import pytest

from catkinspread.platform.stand_ins import build_environment
from catkinspread.sockets import find_free_ports

_PROGRAM = pathlib.Path(__file__).resolve().parents[4] / "deploy" / "instance.py"
_EXIT_STARTUP_FAILED = 2
_TIMEOUT_S = 20
_HOST = "127.241.0.1"
_SETTINGS = """[instance]
name = one
data_centre = east
is_first_start = false
packet_address = {host}:{packet_port}
readiness_address = {host}:{readiness_port}
peer_port = {peer_port}
metrics_port = {metrics_port}
grace_s = 6
flow_lifetime_max_s = 60

[peers]
seeds =

[source]
address = {host}:1
heartbeat_ms = 1200
"""


def _start_program(settings_path: pathlib.Path, log_path: pathlib.Path) -> subprocess.Popen[bytes]:
    with log_path.open("ab") as log:
        return subprocess.Popen(
            [sys.executable, str(_PROGRAM)],
            env={"PATH": os.environ.get("PATH", ""), **build_environment(str(settings_path))},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.DEVNULL,
        )


class RunningProgram:
    """An instance that has started, without a source and without peers."""

    def __init__(self, directory: pathlib.Path) -> None:
        packet_port, readiness_port, peer_port, metrics_port = find_free_ports(4)
        settings = directory / "instance.ini"
        settings.write_text(
            _SETTINGS.format(
                host=_HOST,
                packet_port=packet_port,
                readiness_port=readiness_port,
                peer_port=peer_port,
                metrics_port=metrics_port,
            )
        )
        self._log_path = directory / "log"
        self.process = _start_program(settings, self._log_path)
        self.wait_for(lambda: self.has_logged("started"))

    def has_logged(self, event: str) -> bool:
        return f'"event":"{event}"' in self._log_path.read_text()

    def wait_for(self, condition: Callable[[], bool]) -> None:
        end_s = time.monotonic() + _TIMEOUT_S
        while not condition():
            assert time.monotonic() < end_s, self._log_path.read_text()
            time.sleep(0.02)


@pytest.fixture(name="program")
def _run_program(tmp_path: pathlib.Path) -> RunningProgram:
    program = RunningProgram(tmp_path)
    yield program
    if program.process.poll() is None:
        program.process.kill()
        program.process.wait()


def test_reload_signal_during_startup_does_not_end_the_program(tmp_path: pathlib.Path) -> None:
    """Guards against a SIGHUP that ends an instance while it is starting.

    SIGHUP ends a process that neither ignores nor handles it, and the handler is installed only
    once the instance runs; until then the program must ignore the signal.
    """
    file = tmp_path / "instance.ini"
    os.mkfifo(file)
    process = _start_program(file, tmp_path / "log")
    # Opening the pipe blocks until the program opens its settings file.
    with contextlib.suppress(BrokenPipeError), file.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("no settings")
    assert process.wait() == _EXIT_STARTUP_FAILED


def test_signals_during_shutdown_do_not_end_it_early(program: RunningProgram) -> None:
    """Guards against packets that are lost because a second signal ends a planned stop."""
    program.process.send_signal(signal.SIGTERM)
    program.wait_for(lambda: program.has_logged("leaving"))
    program.process.send_signal(signal.SIGHUP)
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(_TIMEOUT_S) == 0
    assert program.has_logged("stopped")


def test_pause_of_the_process_is_noticed(program: RunningProgram) -> None:
    """Guards against decisions on time-outs that ran out while the process was paused.

    The first call to the source shows that the periodic tasks run, which notice the pause.
    """
    program.wait_for(lambda: program.has_logged("source_lost"))
    program.process.send_signal(signal.SIGSTOP)
    time.sleep(1.0)
    program.process.send_signal(signal.SIGCONT)
    program.wait_for(lambda: program.has_logged("resumed"))
