"""The subcommand that soaks real instances with faults."""

import argparse
import concurrent.futures
import os
import pathlib
import sys
import tempfile

import msgspec

from catkinspread.console.registry import EXIT_OK, EXIT_REFUSED, register_subcommand
from catkinspread.soak import REGRESSIONS, SoakReport, SoakSettings, run_soak

FAULT_MS_DEFAULT = 12_000
_SUBNET_FIRST = 16
_SUBNETS = 200
_JOBS_MAX = 8


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, default=1, help="first seed (default 1)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds (default 1)")
    parser.add_argument("--jobs", type=int, default=1, help="runs at a time (default 1, at most 8)")
    parser.add_argument(
        "--fault-ms",
        type=int,
        default=FAULT_MS_DEFAULT,
        help=f"how long faults begin, in ms (default {FAULT_MS_DEFAULT})",
    )
    parser.add_argument("--regressions", action="store_true", help="play the seeds that failed")
    parser.add_argument("--logs", help="directory that keeps the logs of the instances")


@register_subcommand("soak", "run real instances under random faults", _configure)
def run_soaks(arguments: argparse.Namespace) -> int:
    """Plays the seeds; returns EXIT_REFUSED if a promise was broken."""
    seeds = list(range(arguments.seed, arguments.seed + arguments.seeds))
    if arguments.regressions:
        seeds = [regression.seed for regression in REGRESSIONS]
    jobs = max(1, min(_JOBS_MAX, arguments.jobs))
    status = EXIT_OK
    with tempfile.TemporaryDirectory() as temporary:
        root = pathlib.Path(arguments.logs or temporary)
        settings = [_build_settings(seed, arguments.fault_ms, root) for seed in seeds]
        with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
            for report in pool.map(run_soak, settings):
                print(_format(report), flush=True)
                if report.violations:
                    status = EXIT_REFUSED
    if status:
        print("a promise was broken; --logs DIR keeps the logs", file=sys.stderr)
    return status


def _build_settings(seed: int, fault_ms: int, root: pathlib.Path) -> SoakSettings:
    directory = root / f"seed-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    # Runs at the same time, also those of another program, have subnets of their own.
    subnet = _SUBNET_FIRST + (os.getpid() * 7 + seed) % _SUBNETS
    return SoakSettings(seed, subnet, fault_ms, str(directory))


def _format(report: SoakReport) -> str:
    outcomes = ", ".join(f"{name} {count}" for name, count in sorted(report.outcomes.items()))
    verdict = f"{len(report.violations)} BROKEN" if report.violations else "kept"
    lines = [f"seed {report.seed}: {verdict}; {outcomes}; faults {' '.join(report.faults)}"]
    lines.extend(f"  {msgspec.json.encode(found).decode()}" for found in report.violations[:20])
    return "\n".join(lines)
