"""Registry of the checks of a configuration."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from catkinspread.configuration_check.findings import (
    Finding,
    FindingKind,
    Observation,
    Severity,
)

# The argument depends on the kind of the check: the tuple of decoding faults for REFUSED, the draft
# for UNREACHABLE and CONTRADICTION, and the ConfigurationComparison for DIFFERENCE.
CheckFunction = Callable[[Any], Iterable[Observation]]


class Check(msgspec.Struct, frozen=True):
    """A check, as `register_check` registers it.

    Attributes:
        code: Stable identifier.
        kind: Group of the check.
        severity: Severity of its findings.
        advice: What to do about its findings, as one or more sentences.
        observe: Yields what the check finds; see CheckFunction for its argument.
    """

    code: str
    kind: FindingKind
    severity: Severity
    advice: str
    observe: CheckFunction

    def find(self, checked: object) -> list[Finding]:
        """Runs the check and returns its findings.

        Args:
            checked: Argument of `observe`.
        """
        return [
            Finding(self.code, self.kind, self.severity, observation, self.advice)
            for observation in self.observe(checked)
        ]


_CHECKS: dict[str, Check] = {}


def register_check(
    code: str, kind: FindingKind, severity: Severity, advice: str
) -> Callable[[CheckFunction], CheckFunction]:
    """Returns a decorator that registers a function as a check.

    Args:
        code: Stable identifier.
        kind: Group of the check; it determines the argument of the function, see CheckFunction.
        severity: Severity of its findings.
        advice: What to do about its findings, as one or more sentences.

    Returns:
        The decorator, which returns the function unchanged. It raises ValueError if the code is
        already registered or the advice is empty.
    """

    def register(function: CheckFunction) -> CheckFunction:
        if code in _CHECKS:
            raise ValueError(f"check {code!r} is already registered")
        if not advice:
            raise ValueError(f"check {code!r} has no advice")
        _CHECKS[code] = Check(code, kind, severity, advice, function)
        return function

    return register


def list_checks(kind: FindingKind) -> list[Check]:
    """Returns the checks of one group in the order of their registration."""
    return [check for check in _CHECKS.values() if check.kind is kind]
