"""Renders the findings about a configuration."""

from collections import Counter
from collections.abc import Callable

import msgspec

from catkinspread.configuration_check.findings import (
    ConfigurationField,
    ConfigurationPart,
    Finding,
    FindingKind,
    ObjectKind,
    Severity,
)

# Returns the name of a field on the wire; empty for ConfigurationField.WHOLE.
FieldNamer = Callable[[ConfigurationField], str]


class FindingRow(msgspec.Struct, frozen=True, gc=False):
    """A finding as the JSON report has it.

    Attributes:
        severity: How serious it is.
        kind: Group of the check.
        code: Stable identifier of the check.
        object: Kind of the part of the configuration.
        name: Name of the route or service; empty if there is none.
        position: Position of the entry in the checked file, from 0; None if there is none.
        field: Name of the field on the wire; empty if the finding is about the whole part.
        message: What is wrong or different.
        advice: What to do.
    """

    severity: Severity
    kind: FindingKind
    code: str
    object: ObjectKind
    name: str
    position: int | None
    field: str
    message: str
    advice: str


class CheckReport(msgspec.Struct, frozen=True):
    """The findings about one configuration.

    Attributes:
        file: Name of the checked file.
        errors: Number of findings of severity ERROR.
        warnings: Number of findings of severity WARNING.
        information: Number of findings of severity INFORMATION.
        findings: All findings by descending severity.
    """

    file: str
    errors: int
    warnings: int
    information: int
    findings: tuple[FindingRow, ...]

    @property
    def is_clean(self) -> bool:
        """Whether there are neither errors nor warnings."""
        return self.errors == self.warnings == 0


def build_report(file: str, findings: list[Finding], name_field: FieldNamer) -> CheckReport:
    """Returns the report about a file.

    Args:
        file: Name of the checked file.
        findings: All findings by descending severity.
        name_field: Returns the names of fields on the wire.
    """
    counts = Counter(finding.severity for finding in findings)
    return CheckReport(
        file=file,
        errors=counts[Severity.ERROR],
        warnings=counts[Severity.WARNING],
        information=counts[Severity.INFORMATION],
        findings=tuple(_build_row(finding, name_field) for finding in findings),
    )


def _build_row(finding: Finding, name_field: FieldNamer) -> FindingRow:
    observation = finding.observation
    return FindingRow(
        severity=finding.severity,
        kind=finding.kind,
        code=finding.code,
        object=observation.part.kind,
        name=observation.part.name,
        position=observation.part.position,
        field=name_field(observation.field),
        message=observation.message,
        advice=finding.advice,
    )


def format_report(report: CheckReport) -> str:
    """Returns a report as text: two lines for each finding, and a line with their numbers."""
    lines = []
    for row in report.findings:
        place = str(ConfigurationPart(row.object, row.name, row.position))
        if row.field:
            place += f", {row.field}"
        lines += [f"{row.severity.value}: {place}: {row.message} [{row.code}]", f"    {row.advice}"]
    counts = f"errors {report.errors}, warnings {report.warnings}, information {report.information}"
    return "\n".join([*lines, f"{report.file}: {counts}"])
