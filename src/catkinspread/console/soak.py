"""The subcommand `soak`, which runs instances under random faults."""

import argparse
import concurrent.futures
import os
import pathlib
import sys
import tempfile

import msgspec

from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, register_subcommand
from catkinspread.soak import REGRESSIONS, SoakReport, SoakSettings, run_soak

_DEFAULT_FAULT_MS = 12_000
# Second octets of the loopback addresses of a run: 127.16.0.0/16 to 127.215.0.0/16.
_SECOND_OCTET_MIN = 16
_SECOND_OCTET_COUNT = 200
_JOBS_MAX = 8


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, default=1, help="first seed (default 1)")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds (default 1)")
    parser.add_argument(
        "--jobs", type=int, default=1, help="number of parallel runs (default 1, at most 8)"
    )
    parser.add_argument(
        "--fault-ms",
        type=int,
        default=_DEFAULT_FAULT_MS,
        help=f"period in which faults are started, in ms (default {_DEFAULT_FAULT_MS})",
    )
    parser.add_argument(
        "--regressions", action="store_true", help="run the seeds of past failures instead"
    )
    parser.add_argument(
        "--logs", help="directory for the logs of the instances, which are otherwise deleted"
    )


@register_subcommand(
    "soak", "run instances as processes under random faults and check the guarantees", _configure
)
def run_soaks(arguments: argparse.Namespace) -> int:
    """Runs each seed and prints its report; returns EXIT_FAILURE if a guarantee was violated."""
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
                    status = EXIT_FAILURE
    if status:
        print("a guarantee was violated; use --logs DIR to keep the logs", file=sys.stderr)
    return status


def _build_settings(seed: int, fault_ms: int, root: pathlib.Path) -> SoakSettings:
    directory = root / f"seed-{seed}"
    directory.mkdir(parents=True, exist_ok=True)
    # The process id makes it unlikely that simultaneous runs, also of other processes, share an octet.
    second_octet = _SECOND_OCTET_MIN + (os.getpid() * 7 + seed) % _SECOND_OCTET_COUNT
    return SoakSettings(seed, second_octet, fault_ms, str(directory))


def _format(report: SoakReport) -> str:
    outcomes = ", ".join(f"{name} {count}" for name, count in sorted(report.outcomes.items()))
    verdict = f"{len(report.violations)} BROKEN" if report.violations else "kept"
    lines = [f"seed {report.seed}: {verdict}; {outcomes}; faults {' '.join(report.faults)}"]
    lines.extend(
        f"  {msgspec.json.encode(violation).decode()}" for violation in report.violations[:20]
    )
    return "\n".join(lines)
