"""The table of guarantees that the demo prints."""

import msgspec


class Check(msgspec.Struct, frozen=True):
    """One guarantee as the demo saw it.

    Attributes:
        guarantee: Id of the guarantee, G1 to G10.
        tried: What was done.
        seen: What was measured.
        is_kept: Whether the guarantee held.
    """

    guarantee: str
    tried: str
    seen: str
    is_kept: bool


def format_checks(checks: list[Check]) -> str:
    """Returns the checks as a table."""
    header = ("", "guarantee tried", "seen", "verdict")
    rows = [
        (check.guarantee, check.tried, check.seen, "kept" if check.is_kept else "BROKEN")
        for check in checks
    ]
    widths = [max(len(row[column]) for row in (header, *rows)) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in (header, *rows)
    ]
    return "\n".join(lines)


def count_busiest_second(times_ms: list[int]) -> int:
    """Returns the largest number of times within any 1,000 ms."""
    busiest = 0
    first = 0
    ordered = sorted(times_ms)
    for last, time_ms in enumerate(ordered):
        while time_ms - ordered[first] >= 1_000:
            first += 1
        busiest = max(busiest, last - first + 1)
    return busiest
