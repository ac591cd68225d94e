"""Bench `decisions`: decisions a second on one core, and bytes of memory for each flow."""

import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from catkinspread.bench.deployments import KALAHARI, move_effects, start_effects, write_entry
from catkinspread.bench.registry import BenchReport, register_bench
from catkinspread.configuration import SlotsListed, apply_entry
from catkinspread.model import (
    SLOT_COUNT,
    Configuration,
    InstanceIncarnation,
    OwnerGroup,
    UpstreamState,
)
from catkinspread.routing import MemberView, PacketKind, RoutingLimits, SlotRouter

_FLOWS = 100_000
_ROUNDS = 9
_SERVICE = "recipe-desk"
_MEMBER = InstanceIncarnation("i1", 1)
_START_MS = 1_000_000
# Every eighth flow of a moved slot stays on its old upstream for long in this bench.
_LONG_SHARE = 8


def _measure_rates(
    cases: dict[str, tuple[Callable[[int], object], list[int]]],
) -> dict[str, float]:
    """Returns decisions a second of processor time by case; the best of several rounds.

    The cases take turns in each round, because the speed of a shared core changes by more than
    two times within seconds.
    """
    best = dict.fromkeys(cases, 0.0)
    for _ in range(_ROUNDS):
        for name, (decide, flows) in cases.items():
            start = time.process_time()
            for flow in flows:
                decide(flow)
            best[name] = max(best[name], len(flows) / (time.process_time() - start))
    return best


def _measure_bytes(build: Callable[[], object]) -> tuple[float, object]:
    """Returns the memory that a structure takes, and the structure."""
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size, built


def _start_configuration() -> Configuration:
    entry = write_entry(start_effects(KALAHARI), _START_MS)
    return apply_entry(Configuration(), 1, entry)


def _drain_first(configuration: Configuration) -> Configuration:
    first = configuration.upstreams[f"{_SERVICE}-1"]
    draining = msgspec.structs.replace(first, state=UpstreamState.DRAINING)
    group = OwnerGroup((_MEMBER,))
    effects = move_effects(configuration, {first.name: draining}, {}, group)
    return apply_entry(configuration, 2, write_entry(effects, _START_MS))


def _list_moved(configuration: Configuration, flows: list[int]) -> Configuration:
    transitions = configuration.slot_tables[_SERVICE].transitions
    kept = [flow for flow in flows if flow % SLOT_COUNT in transitions]
    exceptions = {f"{_SERVICE}-1": tuple(kept[::_LONG_SHARE])}
    effect = SlotsListed(_SERVICE, 2, tuple(sorted(transitions)), exceptions)
    return apply_entry(configuration, 3, write_entry((effect,), _START_MS))


def _build_router(configuration: Configuration) -> SlotRouter:
    router = SlotRouter(_MEMBER, RoutingLimits())
    router.apply(configuration, _START_MS)
    router.record_contact(configuration.version, _START_MS - 1_500)
    router.set_members([MemberView("i1", 1, "khomas-1", configuration.version)], _START_MS)
    router.tick(_START_MS)
    return router


def _advance(router: SlotRouter, now_ms: int) -> int:
    """Ticks a router through HOLD and returns the time."""
    for _ in range(3):
        now_ms += 1_000
        router.tick(now_ms)
        router.record_contact(router.version, now_ms)
    return now_ms


@register_bench("decisions")
def run_decisions(seed: int) -> BenchReport:
    """Compares the router with hash modulo the live list and with a table in the instance."""
    source = random.Random(seed)
    flows = [source.getrandbits(64) for _ in range(_FLOWS)]
    start = _start_configuration()
    names = sorted(name for name in start.upstreams if name.startswith(_SERVICE))
    upstreams = [start.upstreams[name] for name in names]
    table_bytes, table = _measure_bytes(
        lambda: {int(str(flow)): upstreams[flow % 7] for flow in flows}
    )
    plain = _build_router(start)
    drained = _drain_first(start)
    moved = [flow for flow in flows if flow % SLOT_COUNT in _transitions(drained)]
    owner = _build_router(drained)
    now_ms = _advance(owner, _START_MS)

    def pin_all() -> None:
        for flow in moved:
            owner.route(PacketKind.DATA, _SERVICE, int(str(flow)), now_ms)

    pin_bytes, _ = _measure_bytes(pin_all)
    list_bytes, listed = _measure_bytes(lambda: _list_moved(drained, flows))
    listed_router = _build_router(listed)
    exceptions = sum(base.exception_count for base in listed.slot_tables[_SERVICE].bases)
    data = PacketKind.DATA
    rates = _measure_rates(
        {
            "plain": (lambda flow: plain.route(data, _SERVICE, flow, _START_MS), flows),
            "pinned": (lambda flow: owner.route(data, _SERVICE, flow, now_ms), moved),
            "listed": (
                lambda flow: listed_router.route(data, _SERVICE, flow, _START_MS),
                moved,
            ),
            "modulo": (lambda flow: upstreams[flow % len(upstreams)], flows),
            "table": (lambda flow: table.get(flow), flows),
        }
    )
    modulo_rate = rates.pop("modulo")
    table_rate = rates.pop("table")
    table_flow_bytes = table_bytes / len(flows)
    figures = {f"{name}_decisions_per_s": round(rate) for name, rate in rates.items()}
    figures.update(
        {f"{name}_rate_to_modulo": round(rate / modulo_rate, 3) for name, rate in rates.items()}
    )
    figures.update(
        {
            "pin_bytes": round(pin_bytes / len(moved), 1),
            "pin_bytes_to_table": round(pin_bytes / len(moved) / table_flow_bytes, 3),
            "transition_bytes_per_flow": round(pin_bytes / len(flows), 2),
            "listed_bytes_per_flow": round(list_bytes / len(flows), 2),
            "listed_bytes_per_flow_to_table": round(list_bytes / len(flows) / table_flow_bytes, 4),
            "listed_bytes_per_exception": round(list_bytes / exceptions, 1),
            "exceptions": exceptions,
        }
    )
    return BenchReport(
        bench="decisions",
        seed=seed,
        figures=figures,
        naive_figures={
            "modulo_decisions_per_s": round(modulo_rate),
            "table_decisions_per_s": round(table_rate),
            "table_bytes_per_flow": round(table_flow_bytes, 1),
        },
    )


def _transitions(configuration: Configuration) -> dict:
    return configuration.slot_tables[_SERVICE].transitions
