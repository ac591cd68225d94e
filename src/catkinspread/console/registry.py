"""The registry of subcommands."""

import argparse
from collections.abc import Callable

import msgspec

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


class Subcommand(msgspec.Struct, frozen=True):
    """A subcommand of the program.

    Attributes:
        name: Name on the command line.
        summary: One line for `--help`.
        configure: Adds the arguments to a parser.
        run: Runs it and returns the exit status.
    """

    name: str
    summary: str
    configure: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace], int]


_SUBCOMMANDS: dict[str, Subcommand] = {}


def register_subcommand(
    name: str, summary: str, configure: Callable[[argparse.ArgumentParser], None]
) -> Callable[[Callable[[argparse.Namespace], int]], Callable[[argparse.Namespace], int]]:
    """Returns a decorator that adds a function to the program as a subcommand."""

    def add(run: Callable[[argparse.Namespace], int]) -> Callable[[argparse.Namespace], int]:
        _SUBCOMMANDS[name] = Subcommand(name, summary, configure, run)
        return run

    return add


def list_subcommands() -> list[Subcommand]:
    """Returns all subcommands in order of name."""
    return [_SUBCOMMANDS[name] for name in sorted(_SUBCOMMANDS)]
