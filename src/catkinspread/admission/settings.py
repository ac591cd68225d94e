"""Settings of admission control."""

import enum

import msgspec


class AdmissionMode(enum.Enum):
    """Which services have admission control."""

    # Services whose routes differ in priority.
    AUTO = "auto"
    ALWAYS = "always"
    OFF = "off"


# Lowest and highest value of each margin. With a trim below 0.01, a wrong estimate of the work would
# refuse nearly everything.
MARGIN_RANGES: dict[str, tuple[float, float]] = {
    "limit_occupancy": (1, 100),
    "limit_update_count": (1, 100),
    "release_occupancy": (0, 100),
    "release_demand_share": (0, 1),
    "release_after_ms": (0, 60_000),
    "minimum_share": (0, 0.5),
    "trim_lower_occupancy": (0, 100),
    "trim_raise_occupancy": (0, 100),
    "trim_min": (0.01, 1),
    "trim_max": (1, 10),
}


class AdmissionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Margins of admission control. The defaults are those of the design page.

    An occupancy is a number of requests in flight per work slot.

    MARGIN_RANGES has the bounds of each.

    Attributes:
        mode: Which services have admission control.
        limit_occupancy: Occupancy from which a service becomes limited.
        limit_update_count: Consecutive updates with this occupancy that it takes.
        release_occupancy: Occupancy below which a limit may end; at most `limit_occupancy`.
        release_demand_share: Demand below which a limit may end, as a share of the room.
        release_after_ms: Time for which both must have been below.
        minimum_share: Share of the room that the lowest priority keeps.
        trim_lower_occupancy: Occupancy above which the trim of the room is lowered; at least
            `trim_raise_occupancy`.
        trim_raise_occupancy: Occupancy below which it is raised.
        trim_min: Lowest trim, a factor of the room.
        trim_max: Highest trim.

    Raises:
        ValueError: If a value is out of range; the message lists all of them.
    """

    mode: AdmissionMode = AdmissionMode.AUTO
    limit_occupancy: float = 2.0
    limit_update_count: int = 2
    release_occupancy: float = 1.5
    release_demand_share: float = 0.9
    release_after_ms: int = 1_000
    minimum_share: float = 0.02
    trim_lower_occupancy: float = 2.5
    trim_raise_occupancy: float = 1.5
    trim_min: float = 0.5
    trim_max: float = 1.5

    def __post_init__(self) -> None:
        ranges = MARGIN_RANGES | {
            "release_occupancy": (0, self.limit_occupancy),
            "trim_lower_occupancy": (self.trim_raise_occupancy, 100),
        }
        problems = []
        for name, (minimum, maximum) in ranges.items():
            value = getattr(self, name)
            # A comparison with NaN is false, so NaN is refused too.
            if not minimum <= value <= maximum:
                problems.append(f"{name} must be from {minimum:g} to {maximum:g}, found {value}")
        if problems:
            raise ValueError("; ".join(problems))
