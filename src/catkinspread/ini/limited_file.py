"""Reads small files with limits on size and time."""

import os
import pathlib
import select
import stat
import time

# Larger than any settings file; a file without an end, such as a device, would fill the memory.
FILE_MAX_BYTES = 1_048_576
# A pipe in place of a file may have no writer.
PIPE_TIMEOUT_MS = 1_000
_CHUNK_BYTES = 65_536
_MS_PER_S = 1_000


class UnreadableFile(Exception):
    """The file is too large, or is no regular file and has no end in time."""


def read_limited_file(path: str | pathlib.Path) -> bytes:
    """Reads a file, pipe or device with at most `FILE_MAX_BYTES`.

    Raises:
        UnreadableFile: If it is larger, or is no regular file and has no end within
            `PIPE_TIMEOUT_MS`.
        OSError: If the system cannot read it.
    """
    if stat.S_ISREG(os.stat(path).st_mode):
        with open(path, "rb") as file:
            data = file.read(FILE_MAX_BYTES + 1)
    else:
        data = _read_pipe(path)
    if len(data) > FILE_MAX_BYTES:
        raise UnreadableFile(f"larger than {FILE_MAX_BYTES} bytes")
    return data


def _read_pipe(path: str | pathlib.Path) -> bytes:
    """Reads a pipe or device until its end, at most a bit more than `FILE_MAX_BYTES`."""
    data = b""
    deadline_s = time.monotonic() + PIPE_TIMEOUT_MS / _MS_PER_S
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    with open(descriptor, "rb", buffering=0) as pipe:
        while len(data) <= FILE_MAX_BYTES:
            left_ms = (deadline_s - time.monotonic()) * _MS_PER_S
            if left_ms <= 0 or not _wait_readable(descriptor, left_ms):
                raise UnreadableFile(f"not a regular file, and no end in {PIPE_TIMEOUT_MS} ms")
            chunk = pipe.read(_CHUNK_BYTES)
            if not chunk:
                break
            data += chunk
    return data


def _wait_readable(descriptor: int, timeout_ms: float) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(timeout_ms))
