"""Structured log lines that never block and are bounded under load.

Each line is a JSON object on standard output. A line that exceeds the rate, or that the reader of
standard output does not take in time, is dropped and counted; the count is in the next line that
is written. Handlers of logging libraries block on a full pipe, so lines are written directly.
"""

import os
from typing import Protocol

import msgspec

from catkinspread.clock import Clock

# A single instance writes about 2 lines for each request; the rate allows some hundred requests
# a second and keeps the cost of lines below a tenth of a small core.
LINES_PER_S = 400
BURST_LINES = 800
_MS_PER_S = 1_000
_STDOUT_FD = 1


class LineSink(Protocol):
    """Takes log lines."""

    def write(self, line: bytes) -> bool:
        """Writes a line, or returns False if it cannot be taken now."""


class LineWriter:
    """Writes whole lines to a file descriptor that is not blocking."""

    __slots__ = ("_descriptor", "_rest")

    def __init__(self, descriptor: int = _STDOUT_FD) -> None:
        self._descriptor = descriptor
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> bool:
        """Writes a line, or returns False if the reader is behind."""
        if self._rest and not self._flush_rest():
            return False
        try:
            written = os.write(self._descriptor, line)
        except OSError:
            # A full pipe or a reader that is gone; both are counted by the caller.
            return False
        self._rest = line[written:]
        return True

    def _flush_rest(self) -> bool:
        try:
            written = os.write(self._descriptor, self._rest)
        except OSError:
            return False
        self._rest = self._rest[written:]
        return not self._rest


class EventLog:
    """Writes events as JSON lines.

    Args:
        instance: Name of the instance, in every line.
        writer: Takes the lines.
        clock: Time of the lines.

    Attributes:
        dropped_count: Lines that were not written since the start.
    """

    __slots__ = (
        "_allowance",
        "_clock",
        "_dropped_unreported",
        "_encoder",
        "_filled_at_ms",
        "_instance",
        "_writer",
        "dropped_count",
    )

    def __init__(self, instance: str, writer: LineSink, clock: Clock) -> None:
        self._instance = instance
        self._writer = writer
        self._clock = clock
        self._encoder = msgspec.json.Encoder()
        self._allowance = float(BURST_LINES)
        self._filled_at_ms = clock.now_ms()
        self._dropped_unreported = 0
        self.dropped_count = 0

    def write(self, event: str, now_ms: int, **inputs: object) -> None:
        """Writes an event that is subject to the rate."""
        elapsed_ms = now_ms - self._filled_at_ms
        if elapsed_ms > 0:
            self._filled_at_ms = now_ms
            refill = elapsed_ms * LINES_PER_S / _MS_PER_S
            self._allowance = min(BURST_LINES, self._allowance + refill)
        if self._allowance < 1:
            self._count_dropped()
            return
        self._allowance -= 1
        self.write_always(event, now_ms, **inputs)

    def write_always(self, event: str, now_ms: int, **inputs: object) -> None:
        """Writes an event that must not be dropped for its rate, such as start and stop."""
        line = {"at_ms": now_ms, "instance": self._instance, "event": event, **inputs}
        if self._dropped_unreported:
            line["dropped_lines"] = self._dropped_unreported
        if self._writer.write(self._encoder.encode(line) + b"\n"):
            self._dropped_unreported = 0
        else:
            self._count_dropped()

    def _count_dropped(self) -> None:
        self.dropped_count += 1
        self._dropped_unreported += 1
