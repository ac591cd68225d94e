"""Makes the standard streams safe to write to, whatever the process was started with."""

import os
import stat
import sys

_STDERR_FD = 2
_STANDARD_FDS = (0, 1, _STDERR_FD)


class ErrorStream:
    """Text stream on standard error that drops what cannot be written.

    It keeps nothing in memory: a buffer that cannot be flushed at the end would change the exit
    status of the interpreter to 120.

    Attributes:
        dropped_count: Number of writes that were dropped or cut off.
    """

    __slots__ = ("dropped_count",)

    encoding = "utf-8"
    errors = "backslashreplace"

    def __init__(self) -> None:
        self.dropped_count = 0

    def write(self, text: str) -> int:
        """Writes the text without an exception, and returns its length."""
        data = text.encode(self.encoding, self.errors)
        try:
            written = os.write(_STDERR_FD, data)
        except OSError:
            written = 0  # The pipe is full or closed, or the disk is full.
        if written < len(data):
            self.dropped_count += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing, because nothing is buffered."""

    def fileno(self) -> int:
        """Returns the descriptor of standard error."""
        return _STDERR_FD

    def isatty(self) -> bool:
        """Returns whether the stream is a terminal."""
        return os.isatty(_STDERR_FD)


def prepare_standard_streams() -> None:
    """Opens closed standard streams, and keeps writes to standard error from blocking or raising.

    Must be called before any socket is opened.
    """
    _open_closed_descriptors()
    _set_pipe_non_blocking(_STDERR_FD)
    sys.stderr = ErrorStream()


def _open_closed_descriptors() -> None:
    """Opens the null device on closed standard streams.

    A socket would otherwise get the number of the stream, and log lines would be sent on it.
    """
    for descriptor in _STANDARD_FDS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free number is used: that of the first closed stream.
            os.set_inheritable(os.open(os.devnull, os.O_RDWR), True)


def _set_pipe_non_blocking(descriptor: int) -> None:
    """Keeps a pipe or socket that nobody reads from blocking the process.

    Terminals stay as they are, because other processes share their mode.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        os.set_blocking(descriptor, False)
