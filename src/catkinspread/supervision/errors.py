"""Descriptions of exceptions for log lines."""

import traceback

import msgspec

_REASON_MAX_CHARS = 300


class ErrorDescription(msgspec.Struct, frozen=True):
    """An exception in a form that any log line can hold.

    Attributes:
        reason: Type and message, in ASCII, at most `_REASON_MAX_CHARS` characters.
        place: File and line that raised it; empty if it was not raised.
    """

    reason: str
    place: str


def describe_error(error: BaseException) -> ErrorDescription:
    """Describes an exception; for a group, the first exception that is not a group itself."""
    error = list_leaf_errors(error)[0]
    text = f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
    # Messages may quote bytes that are not text, which the encoder of the log rejects.
    reason = text.encode("ascii", "backslashreplace").decode("ascii")
    return ErrorDescription(reason[:_REASON_MAX_CHARS], _find_place(error))


def list_leaf_errors(error: BaseException) -> list[BaseException]:
    """Returns the errors of a group and of the groups in it; an error that is no group itself."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in list_leaf_errors(part)]


def _find_place(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    return f"{frames[0].filename}:{frames[0].lineno}" if frames else ""
