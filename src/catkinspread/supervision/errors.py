"""Descriptions of exceptions for log lines."""

import types

import msgspec

_REASON_MAX_CHARS = 300
_PACKAGE_PREFIX = "catkinspread."


class ErrorDescription(msgspec.Struct, frozen=True):
    """An exception in a form that any log line can hold.

    Attributes:
        reason: Type and message, in one line of ASCII, at most `_REASON_MAX_CHARS` characters.
        place: File and line that raised it, and the innermost line of this program if that is
            another one; empty if it was not raised.
    """

    reason: str
    place: str

    def __str__(self) -> str:
        return f"{self.reason} at {self.place or 'an unknown place'}"


def describe_error(error: BaseException) -> ErrorDescription:
    """Describes an exception; for a group, the first exception that is not a group itself."""
    error = list_leaf_errors(error)[0]
    text = f"{type(error).__name__}: {error}" if str(error) else type(error).__name__
    # Messages may quote bytes that are not text, which the encoder of the log rejects.
    reason = " ".join(text.encode("ascii", "backslashreplace").decode("ascii").split())
    return ErrorDescription(reason[:_REASON_MAX_CHARS], _find_place(error.__traceback__))


def list_leaf_errors(error: BaseException) -> list[BaseException]:
    """Returns the errors of a group and of the groups in it; an error that is no group itself."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in list_leaf_errors(part)]


def _find_place(part: types.TracebackType | None) -> str:
    raised = own = ""
    while part is not None:
        raised = f"{part.tb_frame.f_code.co_filename}:{part.tb_lineno}"
        if part.tb_frame.f_globals.get("__name__", "").startswith(_PACKAGE_PREFIX):
            own = raised
        part = part.tb_next
    return raised if own in (raised, "") else f"{raised}, from {own}"
