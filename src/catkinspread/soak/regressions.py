"""Seeds that failed once, kept so that their faults stay mended."""

import msgspec


class Regression(msgspec.Struct, frozen=True):
    """A run that failed.

    Attributes:
        seed: Seed of the run.
        cause: Why it failed.
    """

    seed: int
    cause: str


REGRESSIONS: tuple[Regression, ...] = (
    # Found before the faults of a seed had a generator of their own; the test plays its cause.
    Regression(2, "SIGHUP ended instances that were still loading; see runtime/tests/test_signals"),
)
