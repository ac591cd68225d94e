"""Log of what a soak did to the processes and to the stand-ins, and when."""

import pathlib
import time

_NS_PER_MS = 1_000_000


class RunLog:
    """Appends lines to the log of a run.

    The times are those of the wall clock, as in the logs of the instances.

    Args:
        path: File of the log.
    """

    __slots__ = ("_path",)

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def write(self, text: str) -> None:
        """Appends a line with the current time in ms since the Unix epoch."""
        with self._path.open("a") as log:
            log.write(f"{time.time_ns() // _NS_PER_MS} {text}\n")
