"""Checks of a routing configuration before it is sent to the instances.

The package reads no files and knows no format; `platform.configuration_reader` builds the drafts
that it checks and names their fields.
"""

from catkinspread.configuration_check.checker import check_configuration
from catkinspread.configuration_check.draft import (
    ConfigurationDraft,
    DecodingFault,
    DraftReading,
    RouteEntry,
)
from catkinspread.configuration_check.findings import (
    WHOLE_CONFIGURATION,
    ConfigurationField,
    ConfigurationPart,
    Finding,
    FindingKind,
    ObjectKind,
    Observation,
    Severity,
)
from catkinspread.configuration_check.registry import Check, list_checks, register_check
from catkinspread.configuration_check.report import (
    CheckReport,
    FindingRow,
    build_report,
    format_report,
)

__all__ = [
    "WHOLE_CONFIGURATION",
    "Check",
    "CheckReport",
    "ConfigurationDraft",
    "ConfigurationField",
    "ConfigurationPart",
    "DecodingFault",
    "DraftReading",
    "Finding",
    "FindingKind",
    "FindingRow",
    "ObjectKind",
    "Observation",
    "RouteEntry",
    "Severity",
    "build_report",
    "check_configuration",
    "format_report",
    "list_checks",
    "register_check",
]
