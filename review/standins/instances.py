"""Instances: the role of the deploy file, as separate processes with a rendered settings file."""

import asyncio
import json
import os
import pathlib
import re
import subprocess
import time
import tomllib

from standins.record import Record

ROOT = pathlib.Path(__file__).resolve().parents[2]
_RESTART_DELAY_S = 0.3
_POLL_S = 0.05


class Instance:
    """One machine with its process.

    Attributes:
        fields: What the platform tells its processes, under the names of DEPLOY.md.
        started_at_s: When the current process was started.
        own_exits: How often the process ended by itself.
        is_disturbed: Whether the test stops or kills it at present.
    """

    def __init__(self, fields: dict[str, object], directory: pathlib.Path, record: Record) -> None:
        self.name = str(fields["node_name"])
        self.zone = str(fields["zone"])
        listen = fields["listen"]
        self.host, _, packet_port = listen["datagram_addr"].rpartition(":")  # type: ignore[index]
        self.packet_port = int(packet_port)
        self.ready_port = int(listen["ready"].rpartition(":")[2])  # type: ignore[index]
        self.started_at_s = 0.0
        self.own_exits: list[tuple[float, int]] = []
        self.is_disturbed = False
        self.fields = fields
        self._directory = directory
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None
        with (ROOT / "deploy/system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        (self._role,) = roles.values()

    def start(self, is_first: bool = False) -> None:
        """Starts the process with the command of the deploy file."""
        path = self._directory / f"{self.name}.settings"
        template = (ROOT / self._role["template"]).read_text()
        path.write_text(_render(template, {**self.fields, "bootstrap": is_first}))
        variables = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in variables if name in os.environ}
        environment["CATKINSPREAD_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._directory / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started_at_s = time.monotonic()
        self._record.write("started", instance=self.name, process=self._process.pid)

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self._record.write("signal", instance=self.name, number=number)

    def is_running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    async def supervise(self) -> None:
        """Starts the process again whenever it has ended, as the platform does."""
        while True:
            code = self._process.poll() if self._process else None
            if code is not None:
                if not self.is_disturbed:
                    self.own_exits.append((time.monotonic(), code))
                self._record.write(
                    "ended", instance=self.name, status=code, by_itself=not self.is_disturbed
                )
                await asyncio.sleep(_RESTART_DELAY_S)
                self.is_disturbed = False
                self.start()
            await asyncio.sleep(_POLL_S)

    def close(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def read_log(self) -> str:
        """Returns what the process has written."""
        path = self._directory / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""


def _render(template: str, fields: dict[str, object]) -> str:
    """Fills in the placeholders `{{a.b}}` and `{{a.0}}` of a template."""

    def replace(match: re.Match[str]) -> str:
        value: object = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]  # type: ignore[index]
        if isinstance(value, list):
            return ",".join(map(str, value))
        return value if isinstance(value, str) else json.dumps(value)

    return re.sub(r"{{([a-z_.0-9]+)}}", replace, template)
