"""Runs the checks on a configuration."""

import importlib

from catkinspread.configuration_check.comparison import ConfigurationComparison
from catkinspread.configuration_check.draft import ConfigurationDraft, DraftReading
from catkinspread.configuration_check.findings import Finding, FindingKind, Severity
from catkinspread.configuration_check.registry import list_checks

# Imported because they register their checks, in the order of the findings of one severity.
_CHECK_MODULES = ("refusals", "unreachable", "contradictions", "differences")
for _module in _CHECK_MODULES:
    importlib.import_module(f"catkinspread.configuration_check.{_module}")

_SEVERITY_ORDER = {severity: position for position, severity in enumerate(Severity)}


def check_configuration(
    reading: DraftReading, in_force: ConfigurationDraft | None = None
) -> list[Finding]:
    """Returns all findings about a configuration, by descending severity.

    If the decoder refuses the configuration, only its faults are reported: other checks need all
    entries, and without some of them they would report what is not the case.

    Args:
        reading: The configuration.
        in_force: The configuration in force; None if differences are not to be reported.
    """
    draft = reading.draft
    if draft is None:
        findings = _run(FindingKind.REFUSED, reading.faults)
    else:
        findings = _run(FindingKind.UNREACHABLE, draft) + _run(FindingKind.CONTRADICTION, draft)
        if in_force is not None:
            findings += _run(FindingKind.DIFFERENCE, ConfigurationComparison(draft, in_force))
    return sorted(findings, key=lambda finding: _SEVERITY_ORDER[finding.severity])


def _run(kind: FindingKind, checked: object) -> list[Finding]:
    return [finding for check in list_checks(kind) for finding in check.find(checked)]
