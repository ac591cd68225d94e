"""Tests of the run of all checks, of their registry and of the report."""

import msgspec
import pytest

from catkinspread.configuration_check import (
    WHOLE_CONFIGURATION,
    ConfigurationField,
    DecodingFault,
    DraftReading,
    FindingKind,
    Severity,
    build_report,
    check_configuration,
    format_report,
    register_check,
)
from catkinspread.configuration_check.tests.builders import PAGES, build_draft, build_entry
from catkinspread.deployment import ServiceShare


def name_field(field: ConfigurationField) -> str:
    """Returns a name that shows that it is not that of the library."""
    return "" if field is ConfigurationField.WHOLE else f"wire_{field.value}"


def test_sound_configuration_has_no_findings():
    """Guards against findings about a configuration without any fault."""
    in_force = build_draft(version=6)
    assert check_configuration(DraftReading(build_draft())) == []
    assert check_configuration(DraftReading(build_draft()), in_force) == []


def test_refused_configuration_has_one_error_for_each_fault():
    """Guards against faults that are left out and against differences of what cannot be read."""
    faults = tuple(
        DecodingFault(WHOLE_CONFIGURATION, field, "is missing")
        for field in (ConfigurationField.VERSION, ConfigurationField.ROUTES)
    )
    findings = check_configuration(DraftReading(None, faults), build_draft())
    assert [(finding.severity, finding.code) for finding in findings] == [
        (Severity.ERROR, "refused-value"),
        (Severity.ERROR, "refused-value"),
        (Severity.INFORMATION, "checks-skipped"),
    ]


def test_findings_are_in_order_of_severity():
    """Guards against an error at the end of a long list of differences."""
    draft = build_draft(build_entry(priority=0, objective_ms=9_000), build_entry("r2", port=2))
    in_force = build_draft(version=7)
    severities = [item.severity for item in check_configuration(DraftReading(draft), in_force)]
    assert severities[0] is Severity.ERROR
    assert severities == sorted(severities, key=list(Severity).index)
    assert set(severities) == set(Severity)


def test_check_with_a_known_code_or_without_advice_is_refused():
    """Guards against a check that silently replaces another one, or that says not what to do."""
    with pytest.raises(ValueError, match="already registered"):
        register_check("zero-weight", FindingKind.UNREACHABLE, Severity.WARNING, "Wait.")(list)
    with pytest.raises(ValueError, match="no advice"):
        register_check("other", FindingKind.UNREACHABLE, Severity.WARNING, "")(list)


def test_report_names_fields_as_on_the_wire(snapshot):
    """Guards against unnoticed changes of what operators and their scripts read."""
    draft = build_draft(
        build_entry(objective_ms=9_000),
        build_entry("line\nbreak", port=2, backends=(ServiceShare("pages", 0.0),)),
        services=(PAGES, msgspec.structs.replace(PAGES, name="spare")),
    )
    findings = check_configuration(DraftReading(draft), build_draft(version=7))
    report = build_report("new.json", findings, name_field)
    assert not report.is_clean
    assert format_report(report) == snapshot
    assert msgspec.json.format(msgspec.json.encode(report)).decode() == snapshot


def test_report_with_information_only_is_clean():
    """Guards against an exit status that refuses every intended difference."""
    draft = build_draft(build_entry(timeout_ms=3_000))
    findings = check_configuration(DraftReading(draft), build_draft(version=6))
    report = build_report("new.json", findings, name_field)
    assert (report.information, report.is_clean) == (1, True)
