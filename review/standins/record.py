"""The record of what was sent, answered and run."""

import json
import pathlib
import time


class Record:
    """Writes one line an event, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Writes an event; nothing once the file is closed."""
        if self._file.closed:
            return
        at_s = time.monotonic() - self._started_s
        text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {event} {text}\n")

    def say(self, text: str) -> None:
        """Writes a sentence, also to standard output."""
        at_s = time.monotonic() - self._started_s
        self._file.write(f"{at_s:8.3f} # {text}\n")
        self._file.flush()
        print(f"{at_s:8.3f} {text}", flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
