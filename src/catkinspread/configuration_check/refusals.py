"""Checks for values that make instances refuse the whole configuration."""

from collections.abc import Iterator

from catkinspread.configuration_check.draft import DecodingFault
from catkinspread.configuration_check.findings import (
    WHOLE_CONFIGURATION,
    ConfigurationField,
    FindingKind,
    Observation,
    Severity,
)
from catkinspread.configuration_check.registry import register_check


@register_check(
    "refused-value",
    FindingKind.REFUSED,
    Severity.ERROR,
    "Correct the value. Instances refuse the whole object because of it and keep the version in "
    "force.",
)
def find_refused_values(faults: tuple[DecodingFault, ...]) -> Iterator[Observation]:
    """Yields each value that the decoder refuses."""
    for fault in faults:
        yield Observation(fault.part, fault.field, fault.reason)


@register_check(
    "checks-skipped",
    FindingKind.REFUSED,
    Severity.INFORMATION,
    "Check the object again after the errors are corrected.",
)
def find_skipped_checks(faults: tuple[DecodingFault, ...]) -> Iterator[Observation]:
    """Yields one observation if the other checks cannot run."""
    if faults:
        yield Observation(
            WHOLE_CONFIGURATION,
            ConfigurationField.WHOLE,
            "entries without effect, limits and differences were not checked, because the object "
            "cannot be decoded",
        )
