"""Benches with a seed and a JSON report, and the event queue that they share."""

from catkinspread.bench.events import EventQueue
from catkinspread.bench.registry import (
    BenchReport,
    Bound,
    find_bench,
    list_benches,
    load_benches,
    register_bench,
)

__all__ = [
    "BenchReport",
    "Bound",
    "EventQueue",
    "find_bench",
    "list_benches",
    "load_benches",
    "register_bench",
]
