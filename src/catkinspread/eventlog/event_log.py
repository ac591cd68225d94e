"""Rate-limited, non-blocking structured log.

Each line is a JSON object on standard output. A line that exceeds the rate limit, or that does not
fit into the pipe because the reader is behind, is dropped; the number of dropped lines is included
in the next line that is written. Lines are written directly to the file descriptor, because the
handlers of logging libraries block on a full pipe.
"""

import os
import sys
from typing import Protocol

import msgspec

from catkinspread.clock import Clock

# Rate limit of `EventLog.write`. An instance writes about 2 lines per request, so the limit covers
# about 200 requests per second; it keeps logging below 10 % of the time of one slow processor core.
LINES_PER_S = 400
BURST_LINES = 800
_MS_PER_S = 1_000
_STDOUT_FD = 1
# For example a lone surrogate from a file name, or lists that are nested too deep.
_ENCODING_ERRORS = (TypeError, ValueError, OverflowError, RecursionError)


class LineSink(Protocol):
    """Destination of log lines."""

    def write(self, line: bytes) -> bool:
        """Writes a line, or accepts it for writing later; returns False if it was dropped."""


class FileDescriptorSink:
    """Writes lines to a file descriptor, which it sets to non-blocking mode.

    Args:
        descriptor: The file descriptor; standard output by default.
    """

    __slots__ = ("_descriptor", "_is_usable", "_unwritten")

    def __init__(self, descriptor: int = _STDOUT_FD) -> None:
        self._descriptor = descriptor
        self._unwritten = b""
        self._is_usable = _set_non_blocking(descriptor)

    def write(self, line: bytes) -> bool:
        """Writes a line without blocking.

        Returns:
            False if the line was dropped because the pipe is full or closed, the disk is full, or the
            descriptor cannot be set to non-blocking mode; True if it was written completely or in
            part. The rest of a line written in part is kept and written before the next line; it is
            lost if the program ends first.
        """
        if not self._is_usable:
            return False
        if self._unwritten and not self._flush_unwritten():
            return False
        try:
            written = os.write(self._descriptor, line)
        except OSError:
            # The pipe is full or its reader has exited; the caller counts the dropped line.
            return False
        self._unwritten = line[written:]
        return True

    def _flush_unwritten(self) -> bool:
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def _set_non_blocking(descriptor: int) -> bool:
    """Returns whether the mode was set; a blocking descriptor could stop the whole process."""
    try:
        os.set_blocking(descriptor, False)
    except OSError as error:
        print(f"log lines are dropped: descriptor {descriptor}: {error}", file=sys.stderr)
        return False
    return True


class EventLog:
    """Writes events as JSON lines.

    Args:
        instance: Name of the instance, included in every line.
        sink: Destination of the lines.
        clock: Source of the initial refill time of the rate limit.

    Attributes:
        dropped_count: Number of lines dropped since the start.
    """

    __slots__ = (
        "_bucket_tokens",
        "_clock",
        "_dropped_unreported",
        "_encoder",
        "_instance",
        "_refilled_at_ms",
        "_sink",
        "dropped_count",
    )

    def __init__(self, instance: str, sink: LineSink, clock: Clock) -> None:
        self._instance = instance
        self._sink = sink
        self._clock = clock
        self._encoder = msgspec.json.Encoder()
        self._bucket_tokens = float(BURST_LINES)
        self._refilled_at_ms = clock.now_ms()
        self._dropped_unreported = 0
        self.dropped_count = 0

    def write(self, event: str, now_ms: int, **fields: object) -> None:
        """Writes an event, subject to the rate limit.

        The line is dropped and counted in `dropped_count` if it exceeds the rate limit or if the
        sink drops it.

        Args:
            event: Name of the event.
            now_ms: Current time in ms since the epoch.
            fields: Further keys of the line. A value that cannot be encoded as JSON is replaced by the
                name of its type, because a log line must not end the process.
        """
        elapsed_ms = now_ms - self._refilled_at_ms
        if elapsed_ms > 0:
            self._refilled_at_ms = now_ms
            refill = elapsed_ms * LINES_PER_S / _MS_PER_S
            self._bucket_tokens = min(BURST_LINES, self._bucket_tokens + refill)
        if self._bucket_tokens < 1:
            self._count_dropped_line()
            return
        self._bucket_tokens -= 1
        self.write_always(event, now_ms, **fields)

    def write_always(self, event: str, now_ms: int, **fields: object) -> None:
        """Writes an event regardless of the rate limit, such as start and stop.

        The line is still dropped and counted in `dropped_count` if the sink drops it. Arguments are
        those of `write`.
        """
        line = {"at_ms": now_ms, "instance": self._instance, "event": event, **fields}
        if self._dropped_unreported:
            line["dropped_lines"] = self._dropped_unreported
        if self._sink.write(self._encode(line) + b"\n"):
            self._dropped_unreported = 0
        else:
            self._count_dropped_line()

    def _encode(self, line: dict[str, object]) -> bytes:
        try:
            return self._encoder.encode(line)
        except _ENCODING_ERRORS:
            return self._encoder.encode({key: self._describe(line[key]) for key in line})

    def _describe(self, value: object) -> object:
        """Returns the value if it can be encoded, otherwise a text that describes it."""
        try:
            self._encoder.encode(value)
        except _ENCODING_ERRORS:
            return f"{type(value).__name__} that is not encodable"
        return value

    def _count_dropped_line(self) -> None:
        self.dropped_count += 1
        self._dropped_unreported += 1
