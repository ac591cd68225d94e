"""The subcommand `bench`, which runs benchmarks."""

import argparse
import sys

import msgspec

from catkinspread.bench import BenchReport, find_bench, list_benches, load_benches
from catkinspread.console.registry import (
    EXIT_FAILURE,
    EXIT_OK,
    EXIT_USAGE,
    register_subcommand,
)
from catkinspread.settings import format_suggestion


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("name", nargs="?", help="name of the benchmark to run")
    parser.add_argument("--list", action="store_true", help="print the names of all benchmarks")
    parser.add_argument("--all", action="store_true", help="run all benchmarks")
    parser.add_argument("--seed", type=int, default=1, help="random seed (default 1)")
    parser.add_argument("--json", action="store_true", help="print one JSON object per benchmark")


@register_subcommand(
    "bench", "run a benchmark and compare it with a naive implementation", _configure
)
def run_bench(arguments: argparse.Namespace) -> int:
    """Runs one benchmark or all of them and prints the reports.

    Returns:
        EXIT_FAILURE if a bound is not met, EXIT_USAGE if there is no benchmark of that name.
    """
    load_benches()
    if arguments.list:
        print("\n".join(list_benches()))
        return EXIT_OK
    names = list_benches() if arguments.all else [arguments.name]
    status = EXIT_OK
    for name in names:
        bench = find_bench(name) if name else None
        if bench is None:
            hint = format_suggestion(name, list_benches()) if name else ", see --list"
            print(f"catkinspread bench: no bench named {name!r}{hint}", file=sys.stderr)
            return EXIT_USAGE
        report = bench(arguments.seed)
        print(_format_json(report) if arguments.json else _format_table(report), flush=True)
        if not report.is_kept:
            status = EXIT_FAILURE
    return status


def _format_json(report: BenchReport) -> str:
    return msgspec.json.encode(report).decode()


def _format_table(report: BenchReport) -> str:
    lines = [f"{report.bench} (seed {report.seed})"]
    for name in sorted(set(report.figures) | set(report.naive_figures)):
        value = _format_figure(report.figures.get(name))
        naive = _format_figure(report.naive_figures.get(name))
        lines.append(f"  {name:<50} {value:>14}  naive {naive:>14}")
    for bound in report.bounds:
        verdict = "kept" if bound.is_kept else "BROKEN"
        measured = _format_figure(bound.measured)
        lines.append(f"  bound {bound.figure} <= {bound.limit:g}: {measured}, {verdict}")
    return "\n".join(lines)


def _format_figure(value: float | None) -> str:
    return "-" if value is None else f"{value:.6g}"
