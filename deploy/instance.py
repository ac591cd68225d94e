"""Starts a forwarding instance with the settings file that the platform names.

Runs from a checkout, or beside the package where the build has put both. Up to the import of the
package it uses only the standard library, because it reports what cannot be imported.
"""

import contextlib
import os
import pathlib
import signal
import sys

# Without a handler these signals end the process, also while the program is still loaded. SIGHUP is
# handled once the program listens; SIGUSR1 and SIGUSR2 have no meaning and are ignored for good.
for ignored in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2):
    signal.signal(ignored, signal.SIG_IGN)
# SIGINT ends the process like SIGTERM while the program is loaded, without a traceback.
if signal.getsignal(signal.SIGINT) is signal.default_int_handler:
    signal.signal(signal.SIGINT, signal.SIG_DFL)

EXIT_NOT_LOADED = 4
_PYTHON_MIN = (3, 11)
_STDOUT_FD = 1
_STDERR_FD = 2
_PARENT = pathlib.Path(__file__).resolve().parent.parent
_SOURCE = _PARENT / "src"
# The build has put this file into `target/app`; in a checkout it is in `deploy`.
_DEPENDENCIES = _PARENT / "target" / "deps" if _SOURCE.is_dir() else _PARENT / "deps"


def _extend_module_path() -> None:
    """Adds the source of a checkout and the dependencies that the build has installed."""
    if _SOURCE.is_dir():
        sys.path.insert(0, str(_SOURCE))
    # Last, so that the folder does not hide modules that the caller has put on the path.
    if _DEPENDENCIES.is_dir() and str(_DEPENDENCIES) not in sys.path:
        sys.path.append(str(_DEPENDENCIES))


def _write(descriptor: int, line: str) -> None:
    # A stream may be closed or full; the exit status is the report that remains.
    with contextlib.suppress(OSError):
        os.write(descriptor, f"{line}\n".encode("utf-8", "backslashreplace"))


def _read_source_digest() -> str:
    # As `catkinspread.runtime.source_digest`, which cannot be imported here.
    try:
        return pathlib.Path(__file__).with_name("source-digest").read_text().strip()
    except (OSError, UnicodeDecodeError):
        return "unbuilt"


def report_load_error(error: Exception) -> int:
    """Reports that the program cannot be loaded, in one line on each standard stream.

    Args:
        error: What the import of a module raised.

    Returns:
        The exit status.
    """
    # Imported here because packets are lost until the program has opened its socket.
    import json
    import time
    import traceback

    module = getattr(error, "name", None) or "unknown"
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"
    description = " ".join(f"{type(error).__name__}: {error}".split())
    detail = (
        f"module {module} cannot be loaded by {sys.executable} with dependencies in {_DEPENDENCIES}"
        f" ({description} at {place}); run the build again on this machine"
    )
    line = {
        "at_ms": time.time_ns() // 1_000_000,
        "event": "start_failed",
        "cause": "program_not_loaded",
        "status": EXIT_NOT_LOADED,
        "detail": detail,
        "source": _read_source_digest(),
    }
    _write(_STDOUT_FD, json.dumps(line, separators=(",", ":")))
    _write(_STDERR_FD, f"cannot start: {detail}")
    return EXIT_NOT_LOADED


def run() -> int:
    """Loads and runs the program and returns its exit status."""
    if sys.version_info < _PYTHON_MIN:
        required = ".".join(map(str, _PYTHON_MIN))
        return report_load_error(ImportError(f"Python {required} or later is required"))
    _extend_module_path()
    try:
        from catkinspread.runtime.main import main
    except Exception as error:  # A damaged module can raise more than ImportError.
        return report_load_error(error)
    return main(report_load_error)


if __name__ == "__main__":
    sys.exit(run())
