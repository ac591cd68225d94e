"""The subcommands that run one stand-in each, and write example files."""

import argparse
import pathlib
import sys

import anyio

from catkinspread.clock import SystemClock
from catkinspread.console.registry import EXIT_OK, EXIT_REFUSED, register_subcommand
from catkinspread.emulator import (
    CallerLoad,
    CallerReport,
    Fabric,
    FabricFaults,
    UpstreamModel,
    UpstreamOptions,
    run_callers,
    run_fabric,
    run_upstream,
)
from catkinspread.emulator.deployments import DEPLOYMENTS, AddressPlan
from catkinspread.emulator.examples import write_example
from catkinspread.emulator.platform_api import PlatformSettings
from catkinspread.emulator.platform_server import run_platform
from catkinspread.model import Endpoint
from catkinspread.settings import parse_endpoint


def _endpoint(text: str) -> Endpoint:
    try:
        return parse_endpoint(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(f"{text!r}: {error}") from error


def _configure_platform(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--address", type=_endpoint, required=True, help="IP:PORT to listen on")
    parser.add_argument("--writes-per-s", type=int, default=500, help="limit of writes")
    parser.add_argument("--reads-per-s", type=int, default=2_000, help="limit of reads")
    parser.add_argument("--list-lag-ms", type=int, default=1_000, help="lag of the instance list")


@register_subcommand("platform", "run a stand-in of the platform", _configure_platform)
def run_platform_command(arguments: argparse.Namespace) -> int:
    """Runs the stand-in platform until interrupted."""
    settings = PlatformSettings(
        arguments.writes_per_s, arguments.reads_per_s, arguments.list_lag_ms
    )
    address = arguments.address
    anyio.run(run_platform, address.host, address.port, settings)
    return EXIT_OK


def _configure_upstream(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--address", type=_endpoint, required=True, help="IP:PORT to serve on")
    parser.add_argument("--work-slots", type=int, default=2, help="requests executed at once")
    parser.add_argument("--service-ms", type=int, default=5, help="time to execute a request")
    parser.add_argument("--warmup-ms", type=int, default=5_000, help="time until it is warm")


@register_subcommand("upstream", "run a stand-in of an upstream", _configure_upstream)
def run_upstream_command(arguments: argparse.Namespace) -> int:
    """Runs a stand-in upstream until interrupted."""
    clock = SystemClock()
    options = UpstreamOptions(
        arguments.work_slots, arguments.service_ms, warmup_ms=arguments.warmup_ms
    )
    model = UpstreamModel(options, clock.now_ms())
    anyio.run(run_upstream, arguments.address, model, clock)
    return EXIT_OK


def _configure_fabric(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--inner", type=_endpoint, required=True, help="IP:PORT for instances")
    parser.add_argument(
        "--service", type=_endpoint, action="append", required=True, help="a service address"
    )
    parser.add_argument(
        "--instance",
        type=_endpoint,
        action="append",
        required=True,
        help="fabric address of an instance",
    )
    parser.add_argument("--loss", type=float, default=0.0, help="share of packets lost")
    parser.add_argument("--duplication", type=float, default=0.0, help="share duplicated")
    parser.add_argument("--delay-max-ms", type=int, default=0, help="longest random delay")
    parser.add_argument("--seed", type=int, default=1, help="seed of the choices")


@register_subcommand("fabric", "run a stand-in of the fabric", _configure_fabric)
def run_fabric_command(arguments: argparse.Namespace) -> int:
    """Runs the stand-in fabric until interrupted."""
    faults = FabricFaults(arguments.loss, arguments.duplication, arguments.delay_max_ms)
    fabric = Fabric(faults, arguments.seed)
    fabric.instances = {str(endpoint): endpoint for endpoint in arguments.instance}
    anyio.run(run_fabric, fabric, arguments.service, arguments.inner)
    return EXIT_OK


def _configure_callers(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--service", type=_endpoint, required=True, help="service address")
    parser.add_argument("--name", default="caller", help="prefix of the caller ids")
    parser.add_argument("--flows", type=int, default=50, help="flows open at the same time")
    parser.add_argument("--packets", type=int, default=20, help="packets of each flow")
    parser.add_argument("--interval-ms", type=int, default=50, help="time between packets")
    parser.add_argument("--order-share", type=float, default=0.1, help="share of orders")
    parser.add_argument("--seed", type=int, default=1, help="seed of the choices")


@register_subcommand("callers", "run a load of callers once", _configure_callers)
def run_callers_command(arguments: argparse.Namespace) -> int:
    """Runs a caller load and prints what the callers saw."""
    load = CallerLoad(
        arguments.service,
        arguments.name,
        arguments.flows,
        arguments.packets,
        arguments.interval_ms,
        order_share=arguments.order_share,
        seed=arguments.seed,
    )
    report = CallerReport()
    anyio.run(run_callers, load, SystemClock(), report)
    print(
        f"opened {report.opened}, refused {report.refused}, broken {report.broken}, "
        f"answered {report.answered}, wrong {report.wrong}, not run {len(report.not_run)}, "
        f"unknown {report.unknown}, unanswered {report.unanswered}"
    )
    return EXIT_OK if report.broken == report.wrong == 0 else EXIT_REFUSED


def _configure_example(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("deployment", choices=sorted(DEPLOYMENTS), help="which deployment")
    parser.add_argument("directory", type=pathlib.Path, help="where the files are written")
    parser.add_argument("--base-port", type=int, default=21_000, help="first loopback port")


@register_subcommand("write-example", "write the settings of a deployment", _configure_example)
def write_example_command(arguments: argparse.Namespace) -> int:
    """Writes settings files for loopback and prints their names."""
    plan = AddressPlan(arguments.base_port)
    try:
        names = write_example(DEPLOYMENTS[arguments.deployment], plan, arguments.directory)
    except OSError as error:
        print(f"catkinspread write-example: {error}", file=sys.stderr)
        return EXIT_REFUSED
    print("\n".join(names))
    return EXIT_OK
