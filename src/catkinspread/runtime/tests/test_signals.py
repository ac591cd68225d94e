"""Tests of signals that arrive before the program handles them."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys

from catkinspread.platform.stand_ins import build_environment

_PROGRAM = pathlib.Path(__file__).resolve().parents[4] / "deploy" / "instance.py"
_EXIT_STARTUP_FAILED = 2


def test_reload_signal_during_startup_does_not_end_the_program(tmp_path: pathlib.Path) -> None:
    """Guards against a SIGHUP that ends an instance while it is starting.

    SIGHUP ends a process that neither ignores nor handles it, and the handler is installed only
    once the instance runs; until then the program must ignore the signal.
    """
    file = tmp_path / "instance.ini"
    os.mkfifo(file)
    process = subprocess.Popen(
        [sys.executable, str(_PROGRAM)],
        env={"PATH": os.environ.get("PATH", ""), **build_environment(str(file))},
        stderr=subprocess.DEVNULL,
    )
    # Opening the pipe blocks until the program opens its settings file.
    with contextlib.suppress(BrokenPipeError), file.open("w") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("no settings")
    assert process.wait() == _EXIT_STARTUP_FAILED
