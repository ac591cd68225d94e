"""The program as a real process on loopback, for tests of what its environment does to it."""

import json
import os
import pathlib
import resource
import socket
import subprocess
import sys
import time
from collections.abc import Callable

from catkinspread.platform.stand_ins import build_environment
from catkinspread.runtime.metrics import METRICS_PORT
from catkinspread.sockets import find_free_ports

_PROGRAM = pathlib.Path(__file__).resolve().parents[4] / "deploy" / "instance.py"
_TIMEOUT_S = 20
_SETTINGS = """[instance]
name = one
data_centre = east
is_first_start = false
packet_address = {host}:{packet_port}
readiness_address = {host}:{readiness_port}
peer_port = {peer_port}
grace_s = 2
flow_lifetime_max_s = 60

[peers]
seeds =

[source]
address = {host}:1
heartbeat_ms = 1200
"""


class Program:
    """An instance without a source and without peers.

    Args:
        host: Address on which it listens; no other test may use it.
        directory: Folder for its settings and its log.

    Attributes:
        host: Address on which it listens.
        ports: Its TCP ports, by what they are for.
    """

    def __init__(self, host: str, directory: pathlib.Path) -> None:
        self.host = host
        packet_port, readiness_port, peer_port = find_free_ports(3)
        self.ports = {"readiness": readiness_port, "feed": peer_port, "metrics": METRICS_PORT}
        self._settings_path = directory / "instance.ini"
        self._settings_path.write_text(
            _SETTINGS.format(
                host=host,
                packet_port=packet_port,
                readiness_port=readiness_port,
                peer_port=peer_port,
            )
        )
        self._log_path = directory / "log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, descriptors_max: int | None = None) -> None:
        """Starts the process and waits until it has started.

        Args:
            descriptors_max: Limit of its open files; None for that of this process.
        """

        def set_limit() -> None:
            if descriptors_max is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors_max, descriptors_max))

        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(_PROGRAM)],
                env={
                    "PATH": os.environ.get("PATH", ""),
                    **build_environment(str(self._settings_path)),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=set_limit,
            )
        self.wait_for(lambda: self.find_events("started"))

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def close(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def find_events(self, event: str) -> list[dict[str, object]]:
        """Returns the log lines of an event."""
        lines = [line for line in self._log_path.read_text().splitlines() if line.startswith("{")]
        return [found for found in map(json.loads, lines) if found["event"] == event]

    def wait_for(self, condition: Callable[[], object]) -> None:
        """Waits until a condition holds; fails if the program ends or after a time-out."""
        end_s = time.monotonic() + _TIMEOUT_S
        while not condition():
            assert self.is_running(), self._log_path.read_text()
            assert time.monotonic() < end_s, self._log_path.read_text()
            time.sleep(0.02)

    def can_connect(self, port: int) -> bool:
        """Whether something accepts a connection at a port of the program."""
        try:
            socket.create_connection((self.host, port), 1).close()
        except OSError:
            return False
        return True
