"""Exit statuses of the forwarding program, and the one line that explains each failure."""

import enum
import sys
import types

from catkinspread.clock import SystemClock
from catkinspread.eventlog import EventLog, LineSink

# Errors of one failure that a line names; the traceback has all.
_ERRORS_MAX = 3
_PACKAGE_PREFIX = "catkinspread."


class ExitStatus(enum.IntEnum):
    """Exit status of the program; `docs/runtime.md` explains the lines that go with them."""

    OK = 0
    UNEXPECTED_ERROR = 1
    SETTINGS_INVALID = 2
    PACKET_ADDRESS_UNAVAILABLE = 3
    # Also used by `deploy/instance.py`, which cannot import this module then.
    PROGRAM_NOT_LOADED = 4


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
    clock = SystemClock()
    leaves = list_leaf_errors(error)
    if error.__context__ is not None and not error.__suppress_context__:
        # The event loop may fail in its end as a consequence of the first error.
        leaves = [*list_leaf_errors(error.__context__), *leaves]
    errors = [describe_error(leaf) for leaf in leaves]
    EventLog(instance, sink, clock).write_always(
        "ended_by_error",
        clock.now_ms(),
        status=ExitStatus.UNEXPECTED_ERROR.value,
        errors=errors[:_ERRORS_MAX],
        error_count=len(errors),
    )
    print(f"ended by {'; '.join(errors[:_ERRORS_MAX])}", file=sys.stderr)
    import traceback  # Not needed before the packet socket is open.

    traceback.print_exception(error)
    return ExitStatus.UNEXPECTED_ERROR


def list_leaf_errors(error: BaseException) -> list[BaseException]:
    """Returns the errors of a group and of the groups in it; an error that is no group itself."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in list_leaf_errors(part)]


def describe_error(error: BaseException) -> str:
    """Returns type, message and place of an error in one line.

    The place is where it was raised, and the innermost line of this program if that is another one.
    """
    places = _find_places(error.__traceback__)
    return " ".join(f"{type(error).__name__}: {error} at {places}".split())


def _find_places(part: types.TracebackType | None) -> str:
    raised = own = "an unknown place"
    while part is not None:
        raised = f"{part.tb_frame.f_code.co_filename}:{part.tb_lineno}"
        if part.tb_frame.f_globals.get("__name__", "").startswith(_PACKAGE_PREFIX):
            own = raised
        part = part.tb_next
    return raised if own in (raised, "an unknown place") else f"{raised}, from {own}"
