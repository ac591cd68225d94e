"""Starts the real program on loopback for tests of its start and its environment."""

import json
import os
import pathlib
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

from catkinspread.platform.stand_ins import build_environment
from catkinspread.sockets import find_free_ports

PROGRAM = pathlib.Path(__file__).resolve().parents[4] / "deploy" / "instance.py"
TIMEOUT_S = 20
SETTINGS = """[instance]
name = one
data_centre = east
is_first_start = false
packet_address = {packet_address}
readiness_address = {host}:{readiness_port}
peer_port = {peer_port}
metrics_port = {metrics_port}
grace_s = 3
flow_lifetime_max_s = 60

[peers]
seeds =

[source]
address = {source_address}
heartbeat_ms = 1200
"""


class Program:
    """The program with a settings file and, once started, its process.

    Attributes:
        packet_address: IP address and port of the packet socket.
        readiness_address: IP address and port of the readiness check.
        settings_path: The settings file; written by `write_settings`.
        log_path: Standard output.
        error_path: Standard error.
        ports: Its TCP ports by the name of the part that serves them.
    """

    def __init__(self, directory: pathlib.Path, host: str) -> None:
        packet_port, readiness_port, self._peer_port, metrics_port = find_free_ports(4)
        self.ports = {
            "readiness": readiness_port,
            "feed": self._peer_port,
            "metrics": metrics_port,
        }
        self._host = host
        self.packet_address = (host, packet_port)
        self.readiness_address = (host, readiness_port)
        self.settings_path = directory / "instance.ini"
        self.log_path = directory / "log"
        self.error_path = directory / "errors"
        self.process: subprocess.Popen[bytes] | None = None
        self.write_settings()

    def write_settings(self, **changes: str) -> None:
        """Writes the settings file.

        Args:
            changes: Replacements for `packet_address` and `source_address`.
        """
        host, port = self.packet_address
        values = {
            "host": self._host,
            "packet_address": f"{host}:{port}",
            "source_address": f"{host}:1",
            "readiness_port": self.readiness_address[1],
            "peer_port": self._peer_port,
            "metrics_port": self.ports["metrics"],
            **changes,
        }
        self.settings_path.write_text(SETTINGS.format(**values))

    def start(
        self,
        program: pathlib.Path = PROGRAM,
        before: Callable[[], None] | None = None,
        **options: Any,
    ) -> subprocess.Popen[bytes]:
        """Starts the program.

        Args:
            program: The script to run.
            before: Called in the new process before the script runs.
            options: Further arguments of `Popen`, in place of the defaults.
        """
        environment = {"PATH": os.environ.get("PATH", "")}
        environment.update(build_environment(str(self.settings_path)))
        with self.log_path.open("ab") as log, self.error_path.open("ab") as errors:
            arguments: dict[str, Any] = {
                "env": environment,
                "stdin": subprocess.DEVNULL,
                "stdout": log,
                "stderr": errors,
                "preexec_fn": before,
                **options,
            }
            self.process = subprocess.Popen([sys.executable, str(program)], **arguments)
        return self.process

    def stop(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_events(self) -> list[dict[str, Any]]:
        """Returns the complete log lines so far."""
        lines = self.log_path.read_text().split("\n")[:-1]
        return [json.loads(line) for line in lines]

    def find_events(self, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of an event."""
        return [line for line in self.read_events() if line["event"] == event]

    def has_logged(self, event: str) -> bool:
        """Returns whether there is a log line of an event."""
        return bool(self.find_events(event))

    def wait_for(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition is met; fails if the process ends or the time is over."""
        end_s = time.monotonic() + TIMEOUT_S
        while not condition():
            assert self.process is not None
            assert self.process.poll() is None, self.describe()
            assert time.monotonic() < end_s, self.describe()
            time.sleep(0.02)

    def describe(self) -> str:
        """Returns status and output of the process for messages of failed tests."""
        status = self.process.poll() if self.process else None
        return f"{status}\n{self.log_path.read_text()}\n{self.error_path.read_text()}"
