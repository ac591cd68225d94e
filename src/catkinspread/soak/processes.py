"""Instances as separate processes, driven by signals.

Only processes that were started here are signalled, by their ids.
"""

import os
import pathlib
import signal
import subprocess
import sys
import time

from catkinspread.platform.stand_ins import build_environment
from catkinspread.soak.layout import PACKET_PORT, PEER_PORT, READINESS_PORT, Layout
from catkinspread.soak.run_log import RunLog

GRACE_MS = 6_000
HEARTBEAT_MS = 1_200
# The program that the users' machines start, in the checkout.
_PROGRAM = pathlib.Path(__file__).resolve().parents[3] / "deploy" / "instance.py"
# The interpreter runs no code of the program earlier; a signal would end the process.
_LOADING_MS = 400
_MS_PER_S = 1_000
_STARTED_EVENT = b'"event":"started"'
_SETTINGS = """[instance]
name = {name}
data_centre = {data_centre}
is_first_start = {is_first_start}
packet_address = {host}:{packet_port}
readiness_address = {host}:{readiness_port}
peer_port = {peer_port}
grace_s = {grace_s}
flow_lifetime_max_s = 60

[peers]
seeds = {seeds}

[source]
address = {source}
heartbeat_ms = {heartbeat_ms}
"""


class InstanceProcess:
    """One instance.

    Attributes:
        name: Name of the instance.
        number: Its place in the layout.
        data_centre: Where it runs.
        host: Its address.
        incarnation: How often it was started.
        log_path: File that takes its output.
    """

    __slots__ = (
        "_directory",
        "_is_end_expected",
        "_is_stopped_while_loading",
        "_layout",
        "_process",
        "_run_log",
        "_started_s",
        "data_centre",
        "host",
        "incarnation",
        "log_path",
        "name",
        "number",
    )

    def __init__(
        self,
        layout: Layout,
        number: int,
        data_centre: str,
        directory: pathlib.Path,
        run_log: RunLog,
    ) -> None:
        self.name = f"instance-{number}"
        self.number = number
        self.data_centre = data_centre
        self.host = layout.instance_host(number)
        self.incarnation = 0
        self.log_path = directory / f"{self.name}.log"
        self._directory = directory
        self._run_log = run_log
        self._layout = layout
        self._process: subprocess.Popen[bytes] | None = None
        self._is_end_expected = False
        self._is_stopped_while_loading = False
        self._started_s = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the process is there, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self, is_first_start: bool = False) -> None:
        """Starts the process; it must not be running."""
        path = self._directory / f"{self.name}.ini"
        path.write_text(self._format_settings(is_first_start))
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(_PROGRAM)],
                env={"PATH": os.environ.get("PATH", ""), **build_environment(str(path))},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._is_end_expected = False
        self._is_stopped_while_loading = False
        self._started_s = time.monotonic()
        self.incarnation += 1
        self._log_action("start")

    def stop(self) -> None:
        """Asks the process to leave."""
        self._is_stopped_while_loading = not self._is_loaded()
        self._signal(signal.SIGTERM, is_end=True)

    def kill(self) -> None:
        """Ends the process at once."""
        self._signal(signal.SIGKILL, is_end=True)

    def pause(self) -> None:
        """Freezes the process."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a frozen process go on."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tells the process that its settings changed, unless it is about to read them."""
        if time.monotonic() - self._started_s < _LOADING_MS / _MS_PER_S:
            return
        self._signal(signal.SIGHUP)

    def find_fault(self) -> str:
        """Returns how the process ended by itself or with an error; empty if it did not."""
        code = self._process.poll() if self._process else None
        if code is None or code == -signal.SIGKILL and self._is_end_expected:
            return ""
        if code == -signal.SIGTERM and self._is_stopped_while_loading:
            return ""  # It served nothing yet.
        if not self._is_end_expected:
            return f"ended by itself with status {code}"
        return f"ended with status {code} after SIGTERM" if code else ""

    def close(self) -> None:
        """Ends the process and waits for it."""
        if self._process is not None:
            self.kill()
            self._process.wait()

    def _is_loaded(self) -> bool:
        """Whether the current process has said that it runs."""
        return self.log_path.read_bytes().count(_STARTED_EVENT) >= self.incarnation

    def _signal(self, number: signal.Signals, is_end: bool = False) -> None:
        if self._process is not None and self._process.poll() is None:
            self._is_end_expected |= is_end
            self._process.send_signal(number)
            self._log_action(number.name)

    def _log_action(self, action: str) -> None:
        self._run_log.write(f"{self.name} {action} process {self._process.pid}")

    def _format_settings(self, is_first_start: bool) -> str:
        seeds = ", ".join(f"{self._layout.instance_host(number)}:1" for number in range(3))
        return _SETTINGS.format(
            name=self.name,
            data_centre=self.data_centre,
            is_first_start=str(is_first_start).lower(),
            host=self.host,
            packet_port=PACKET_PORT,
            readiness_port=READINESS_PORT,
            peer_port=PEER_PORT,
            grace_s=GRACE_MS // _MS_PER_S,
            seeds=seeds,
            source=self._layout.store_proxy(self.number),
            heartbeat_ms=HEARTBEAT_MS,
        )
