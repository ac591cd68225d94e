"""The registry of benches and the form of their reports."""

import importlib
import pkgutil
from collections.abc import Callable

import msgspec


class Bound(msgspec.Struct, frozen=True):
    """A limit that a figure of a report must keep.

    Attributes:
        figure: Name of the figure, with its unit as a suffix.
        limit: The largest value allowed, from the stated target.
        measured: What was measured.
    """

    figure: str
    limit: float
    measured: float

    @property
    def is_kept(self) -> bool:
        """Whether the measured value is at most the limit."""
        return self.measured <= self.limit


class BenchReport(msgspec.Struct, frozen=True):
    """What one run of a bench found.

    Attributes:
        bench: Name of the bench.
        seed: Seed of the run.
        figures: Measured figure by name, with the unit as a suffix of the name.
        naive_figures: The same figures of the naive version in the same run.
        bounds: The bounds that were checked.
    """

    bench: str
    seed: int
    figures: dict[str, float]
    naive_figures: dict[str, float] = {}
    bounds: tuple[Bound, ...] = ()

    @property
    def is_kept(self) -> bool:
        """Whether every bound is kept."""
        return all(bound.is_kept for bound in self.bounds)


BenchFunction = Callable[[int], BenchReport]

_BENCHES: dict[str, BenchFunction] = {}


def register_bench(name: str) -> Callable[[BenchFunction], BenchFunction]:
    """Returns a decorator that adds a bench to the registry.

    Args:
        name: Name of the bench on the command line.

    Raises:
        ValueError: If the name is taken.
    """

    def add(function: BenchFunction) -> BenchFunction:
        if name in _BENCHES:
            raise ValueError(f"bench {name!r} is registered twice")
        _BENCHES[name] = function
        return function

    return add


def find_bench(name: str) -> BenchFunction | None:
    """Returns the bench of a name, or None if there is none."""
    return _BENCHES.get(name)


def list_benches() -> list[str]:
    """Returns the names of all benches in order."""
    return sorted(_BENCHES)


def load_benches() -> None:
    """Imports every module of the bench package, so that all benches are registered."""
    package = importlib.import_module("catkinspread.bench")
    for module in pkgutil.iter_modules(package.__path__):
        if module.name != "tests":
            importlib.import_module(f"catkinspread.bench.{module.name}")
