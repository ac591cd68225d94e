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
    # Found before the faults of a seed had a generator of their own; the test plays its cause. A new
    # kind of fault changes what a seed draws as well.
    Regression(2, "SIGHUP ended instances that were still loading; see runtime/tests/test_signals"),
    Regression(800, "flows of a live upstream were reset while the feeder had lost the source"),
    Regression(812, "an opening packet was refused by the configuration of before a pause"),
    Regression(928, "two faults of the store at once; see soak/tests/test_faults"),
)
