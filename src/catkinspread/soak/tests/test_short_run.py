"""A short seeded run of real instances, and the runs that failed once."""

import pathlib

import pytest

from catkinspread.soak import REGRESSIONS, SoakSettings, list_faults, run_soak

SHORT_SEED = 1
SHORT_FAULT_MS = 6_000
# Far from those that the command line gives to runs at the same time.
SUBNET = 240
REGRESSION_FAULT_MS = 12_000


def test_short_run_keeps_all_guarantees(tmp_path: pathlib.Path) -> None:
    """Guards against any broken guarantee under a few faults."""
    report = run_soak(SoakSettings(SHORT_SEED, SUBNET, SHORT_FAULT_MS, str(tmp_path)))
    assert report.violations == ()
    assert report.outcomes["served"] > 0
    assert set(report.faults) <= set(list_faults())


@pytest.mark.parametrize("regression", REGRESSIONS, ids=lambda found: str(found.seed))
def test_run_that_failed_once_keeps_all_guarantees(
    regression: object, tmp_path: pathlib.Path
) -> None:
    """Guards against the return of a fault that a soak found."""
    report = run_soak(SoakSettings(regression.seed, SUBNET, REGRESSION_FAULT_MS, str(tmp_path)))
    assert report.violations == ()
