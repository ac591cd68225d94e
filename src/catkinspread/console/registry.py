"""Registry of the subcommands and their exit statuses."""

import argparse
from collections.abc import Callable

import msgspec

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


class Subcommand(msgspec.Struct, frozen=True):
    """A subcommand of `catkinspread`.

    Attributes:
        name: Name on the command line.
        summary: One-line description for `--help`.
        configure: Adds the arguments of the subcommand to its parser.
        run: Runs the subcommand with the parsed arguments and returns the exit status.
    """

    name: str
    summary: str
    configure: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace], int]


_SUBCOMMANDS: dict[str, Subcommand] = {}


def register_subcommand(
    name: str, summary: str, configure: Callable[[argparse.ArgumentParser], None]
) -> Callable[[Callable[[argparse.Namespace], int]], Callable[[argparse.Namespace], int]]:
    """Returns a decorator that registers a function as a subcommand.

    Args:
        name: Name on the command line; a later registration replaces an earlier one.
        summary: One-line description for `--help`.
        configure: Adds the arguments of the subcommand to its parser.
    """

    def register(run: Callable[[argparse.Namespace], int]) -> Callable[[argparse.Namespace], int]:
        _SUBCOMMANDS[name] = Subcommand(name, summary, configure, run)
        return run

    return register


def list_subcommands() -> list[Subcommand]:
    """Returns all subcommands, sorted by name."""
    return [_SUBCOMMANDS[name] for name in sorted(_SUBCOMMANDS)]
