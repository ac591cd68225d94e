"""Why a statement was refused.

Errors are values: `expression.Result` carries them to the caller, who shows `message`.
"""

import difflib
from collections.abc import Iterable

import msgspec

# Names such as "c9" and "c1" are still similar.
_NEAREST_CUTOFF = 0.5


class OperationsError(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all errors of this layer.

    Attributes:
        message: What happened, for the operator.
    """

    message: str


class SyntaxProblem(OperationsError, frozen=True, kw_only=True):
    """The text is not a statement.

    Attributes:
        column: Position of the fault in the text; the first character is 1.
        expected: What could stand there.
    """

    column: int
    expected: tuple[str, ...] = ()


class UnknownName(OperationsError, frozen=True, kw_only=True):
    """A statement names an object that does not exist.

    Attributes:
        name: The name as stated.
        nearest: The most similar known name; empty if none is similar.
    """

    name: str
    nearest: str


class InvalidChange(OperationsError, frozen=True, kw_only=True):
    """A command does not fit the configuration."""


class Unauthorised(OperationsError, frozen=True, kw_only=True):
    """The token is not known. The message tells nothing else."""

    message: str = "not authorised"


class Forbidden(OperationsError, frozen=True, kw_only=True):
    """The team or role of a known token does not allow the statement."""


class VersionChanged(OperationsError, frozen=True, kw_only=True):
    """Another change came first.

    Attributes:
        version: The current version.
        changed_by: Who wrote it.
        command: The command that wrote it.
    """

    version: int
    changed_by: str
    command: str


class PlatformUnavailable(OperationsError, frozen=True, kw_only=True):
    """The platform did not answer; nothing was written."""


class ChangeUnconfirmed(OperationsError, frozen=True, kw_only=True):
    """The platform did not confirm a change, which may still take effect.

    Attributes:
        change_id: Id of the change, to look for among the changes.
        version: Version that the change has if it takes effect.
    """

    change_id: str
    version: int


class LogDamaged(OperationsError, frozen=True, kw_only=True):
    """The configuration log holds an entry that cannot be applied."""


def find_nearest(name: str, known: Iterable[str]) -> str:
    """Returns the known name that is most similar to a name; empty if none is similar."""
    return next(iter(difflib.get_close_matches(name, sorted(known), 1, _NEAREST_CUTOFF)), "")


def describe_unknown(kind: str, name: str, known: Iterable[str]) -> UnknownName:
    """Returns the error for a name that does not exist.

    Args:
        kind: Kind of the object, such as "service".
        name: The name as stated.
        known: Names of all objects of that kind.
    """
    nearest = find_nearest(name, known)
    hint = f"; the nearest name is {nearest!r}" if nearest else ""
    message = f"{kind} {name!r} does not exist{hint}"
    return UnknownName(message=message, name=name, nearest=nearest)
