"""Exit statuses of the forwarding program, and the one line that explains each failure."""

import enum
import sys

from catkinspread.clock import SystemClock
from catkinspread.eventlog import EventLog, LineSink
from catkinspread.runtime.source_digest import read_source_digest

# Errors of one failure that a line names; the traceback has all.
_ERRORS_MAX = 3


class ExitStatus(enum.IntEnum):
    """Exit status of the program; `docs/runtime.md` explains the lines that go with them."""

    OK = 0
    UNEXPECTED_ERROR = 1
    SETTINGS_INVALID = 2
    PACKET_ADDRESS_UNAVAILABLE = 3
    # Also used by `deploy/instance.py`, which cannot import this module then.
    PROGRAM_NOT_LOADED = 4
    REQUIRED_PART_FAILED = 5


def report_start_failure(sink: LineSink, instance: str, status: ExitStatus, detail: str) -> int:
    """Writes why the program does not start, to both standard streams, and returns the status.

    Args:
        sink: Destination of the log line.
        instance: Name of the instance; empty if it is not known.
        status: The exit status.
        detail: Description of the failure.
    """
    clock = SystemClock()
    EventLog(instance, sink, clock).write_always(
        "start_failed",
        clock.now_ms(),
        cause=status.name.lower(),
        status=status.value,
        detail=detail,
        source=read_source_digest(),
    )
    print(detail, file=sys.stderr)
    return status


def report_unexpected_error(sink: LineSink, instance: str, error: BaseException) -> int:
    """Writes which error ended the program, and where it was raised, and returns the status.

    The traceback follows on standard error.

    Args:
        sink: Destination of the log line.
        instance: Name of the instance.
        error: The error, possibly a group of errors.
    """
    # Not imported before the packet socket is open.
    import traceback

    from catkinspread.supervision import RequiredPartFailed, describe_error, list_leaf_errors

    leaves = list_leaf_errors(error)
    if error.__context__ is not None and not error.__suppress_context__:
        # The event loop may fail in its end as a consequence of the first error.
        leaves = [*list_leaf_errors(error.__context__), *leaves]
    is_part = any(isinstance(leaf, RequiredPartFailed) for leaf in leaves)
    status = ExitStatus.REQUIRED_PART_FAILED if is_part else ExitStatus.UNEXPECTED_ERROR
    clock = SystemClock()
    errors = [str(describe_error(leaf)) for leaf in leaves]
    EventLog(instance, sink, clock).write_always(
        "ended_by_error",
        clock.now_ms(),
        status=status.value,
        errors=errors[:_ERRORS_MAX],
        error_count=len(errors),
    )
    print(f"ended by {'; '.join(errors[:_ERRORS_MAX])}", file=sys.stderr)
    traceback.print_exception(error)
    return status
