"""What the demo found, and the verdict on each guarantee."""

import collections

import msgspec

from catkinspread.demo.checks import Check
from catkinspread.demo.site import COLD_RATE_PER_S, WARM_RATE_PER_S, WARMUP_MS, Site
from catkinspread.emulator import CallerReport
from catkinspread.hashing import hash_flow

_BOUND_MS = 5_000
_WINDOW_MS = 1_000


class Findings(msgspec.Struct):
    """What the steps of the demo measured.

    Attributes:
        drained: Upstream that was drained.
        drained_at_ms: When the command was accepted.
        kept_flows: Flows that were on it then.
        cold: Upstream that was added cold.
        cold_at_ms: When it was added.
        out_ms: Time from taking the data centre out to the last packet there.
        late_to_out: Upstreams there that got a packet after the bound.
        in_force_ms: Time until each change was in force everywhere.
        conflict: What the operator who lost a race was told.
    """

    drained: str = ""
    drained_at_ms: int = 0
    kept_flows: set[int] = msgspec.field(default_factory=set)
    cold: str = ""
    cold_at_ms: int = 0
    out_ms: int = 0
    late_to_out: int = 0
    in_force_ms: list[int] = msgspec.field(default_factory=list)
    conflict: str = ""


def judge(findings: Findings, reports: list[CallerReport], site: Site) -> list[Check]:
    """Returns the verdict on each guarantee."""
    opened = sum(report.opened for report in reports)
    broken = sum(report.broken for report in reports)
    given_up = sum(report.given_up for report in reports)
    wrong = sum(report.wrong for report in reports)
    answered = sum(report.answered for report in reports)
    return [
        Check(
            "G1",
            "drain, add, kill, restart, data centre out under load",
            f"{broken} of {opened} flows broken, {given_up} given up with their data centre"
            f"{_format_reasons(reports)}, longest silence "
            f"{max(report.longest_silence_ms for report in reports)} ms",
            broken == 0 and opened > 0,
        ),
        _judge_services(site, reports),
        _judge_cold(findings, site),
        Check(
            "G4",
            "take out a data centre",
            f"last packet after {findings.out_ms} ms, {findings.late_to_out} late upstreams",
            findings.late_to_out == 0,
        ),
        Check(
            "G5",
            "answers compared with their requests",
            f"{wrong} wrong of {answered + wrong} answers",
            wrong == 0 and answered > 0,
        ),
        *_judge_orders(reports, site),
        _judge_drain(findings, site),
        Check(
            "G9",
            "graceful shutdown of an instance under load",
            f"{sum(report.unanswered for report in reports)} requests without any answer",
            sum(report.unanswered for report in reports) == 0,
        ),
        Check(
            "G10",
            "changes, and two operators at once",
            f"in force after {max(findings.in_force_ms)} ms; conflict told: "
            f"{'yes' if findings.conflict else 'no'}",
            max(findings.in_force_ms) <= _BOUND_MS and bool(findings.conflict),
        ),
    ]


def _judge_services(site: Site, reports: list[CallerReport]) -> Check:
    misplaced = 0
    ports = [port for report in reports for port in report.ports]
    for service_index, service in enumerate(site.deployment.services):
        others = {
            hash_flow(other.name, "127.0.0.1", port)
            for index, other in enumerate(site.deployment.services)
            if index != service_index
            for port in ports
        }
        for name, model in site.upstreams.items():
            if name.startswith(service.upstream_prefix):
                misplaced += len(others & (model.flows | model.closed))
    unknown = sum(model.unknown_flow_packets for model in site.upstreams.values())
    return Check(
        "G2",
        "flows of two services at once",
        f"{misplaced} flows at another service, {unknown} packets at an upstream without the flow",
        misplaced == 0 and unknown == 0,
    )


def _judge_cold(findings: Findings, site: Site) -> Check:
    starts = site.upstreams[findings.cold].starts_ms
    worst = 0.0
    seen = 0
    for last, time_ms in enumerate(starts):
        elapsed_ms = time_ms - findings.cold_at_ms
        if elapsed_ms > WARMUP_MS:
            break
        gain_per_s = (WARM_RATE_PER_S - COLD_RATE_PER_S) * max(0, elapsed_ms) / WARMUP_MS
        window = [start for start in starts[: last + 1] if start > time_ms - _WINDOW_MS]
        worst = max(worst, len(window) / (COLD_RATE_PER_S + gain_per_s))
        seen += 1
    return Check(
        "G3",
        f"add {findings.cold} cold, cap {COLD_RATE_PER_S}/s rising to {WARM_RATE_PER_S}/s",
        f"{seen} requests while warming, at most {worst:.0%} of the cap in any second",
        worst <= 1.0,
    )


def _judge_orders(reports: list[CallerReport], site: Site) -> list[Check]:
    runs: dict[tuple[str, str], int] = {}
    for model in site.upstreams.values():
        for key, count in model.runs.items():
            runs[key] = runs.get(key, 0) + count
    orders = set().union(*(report.orders for report in reports))
    not_run = set().union(*(report.not_run for report in reports))
    twice = sum(runs.get(key, 0) > 1 for key in orders)
    false = sum(runs.get(key, 0) > 0 for key in orders & not_run)
    unknown = sum(report.unknown for report in reports)
    return [
        Check(
            "G6",
            "orders during an outage of the platform",
            f"{len(not_run)} requests refused as not run, {false} of them had run",
            false == 0,
        ),
        Check(
            "G7",
            "orders with duplicated packets, a killed instance, repeats",
            f"{len(orders)} orders, {twice} ran twice, {unknown} with unknown outcome",
            twice == 0 and bool(orders),
        ),
    ]


def _judge_drain(findings: Findings, site: Site) -> Check:
    limit_ms = findings.drained_at_ms + _BOUND_MS
    opened = site.upstreams[findings.drained].opened_at_ms
    late = sum(time_ms > limit_ms for time_ms in opened.values())
    return Check(
        "G8",
        f"drain {findings.drained} with {len(findings.kept_flows)} open flows",
        f"{late} new flows there after {_BOUND_MS} ms",
        late == 0,
    )


def _format_reasons(reports: list[CallerReport]) -> str:
    reasons = sum((report.broken_reasons for report in reports), collections.Counter())
    return "".join(f", {count} {reason}" for reason, count in sorted(reasons.items()))
