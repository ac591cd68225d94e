"""Bench `control-cost`: what control traffic costs an instance, by the number of instances."""

import gc
import random
import time
import tracemalloc

from catkinspread.bench.configuration_fleet import ConfigurationFleet
from catkinspread.bench.least_squares import fit_slope
from catkinspread.bench.naive_heartbeats import count_naive_bytes_per_s
from catkinspread.bench.population import GROUP, make_listing, make_service_effects
from catkinspread.bench.registry import BenchReport, Bound, register_bench
from catkinspread.configuration import Change, Effect, SlotMove, SlotsMoved
from catkinspread.membership import MemberRecord, MembershipView, MemberState

BYTES_PER_S_MAX = 3_000.0
CORE_SHARE_MAX = 0.025
CHANGES_PER_DAY = 470
REPLACEMENTS_PER_DAY = 2_800
_SECONDS_PER_DAY = 86_400
FLEET_SIZES = (9, 80, 160, 320, 640)
_QUIET_MS = 4_000
_CHANGE_MS = 4_000
_LARGE_LIST_FLOWS = 2_200  # 20 KB when encoded
_MOVED_SLOTS = tuple(range(146))  # a seventh of a service


class FleetCost:
    """Runs a fleet and measures the bytes of its instances."""

    def __init__(self, seed: int, node_count: int) -> None:
        data_centres = 3 if node_count == 9 else 8
        self.fleet = ConfigurationFleet(
            seed,
            node_count=node_count,
            data_centre_count=data_centres,
            region_count=1 if node_count == 9 else 2,
        )
        self.fleet.start_all()
        self.fleet.run(3_000)
        self.version = 0

    def measure(self, duration_ms: int) -> tuple[float, float]:
        """Runs for a time and returns mean and largest bytes of an instance, per second."""
        nodes = self.fleet.nodes.values()
        for node in nodes:
            node.bytes_sent = node.bytes_received = 0
        self.fleet.run(duration_ms)
        totals = [node.bytes_sent + node.bytes_received for node in nodes if node.is_running]
        scale = 1_000 / duration_ms
        return sum(totals) / len(totals) * scale, max(totals) * scale

    def measure_change(self, effects: tuple[Effect, ...], quiet_per_s: float) -> float:
        """Returns the bytes that a change costs an instance above the quiet traffic."""
        change = Change(f"change-{self.version + 1}", "operator", "", "", effects)
        result = self.fleet.platform.write(change, self.version)
        self.version = result.ok.version
        for node in self.fleet.nodes.values():
            node.bytes_sent = node.bytes_received = 0
        self.fleet.feed_writer(next(iter(self.fleet.nodes)), result.ok.entry)
        self.fleet.wake_watchers()
        mean_per_s = self._run_on(_CHANGE_MS)
        return (mean_per_s - quiet_per_s) * _CHANGE_MS / 1_000

    def measure_replacement(self, quiet_per_s: float) -> float:
        """Returns what leaving and starting again of one instance costs an instance, in bytes.

        The bytes of the instance itself are spread over all, as each is replaced in turn.
        """
        name = list(self.fleet.nodes)[-1]
        for node in self.fleet.nodes.values():
            node.bytes_sent = node.bytes_received = 0
        self.fleet.leave(name)
        self.fleet.run(500)
        self.fleet.start(name)
        mean_per_s = self._run_on(7_500)
        return mean_per_s * 7.5 - quiet_per_s * 8

    def _run_on(self, duration_ms: int) -> float:
        self.fleet.run(duration_ms)
        nodes = self.fleet.nodes.values()
        total = sum(node.bytes_sent + node.bytes_received for node in nodes)
        return total / len(nodes) * 1_000 / duration_ms


def measure_view_memory(node_count: int) -> float:
    """Returns the bytes that the view of an instance takes."""
    record = MemberRecord("a", 1, 0, MemberState.ALIVE, "dc-1", "10.0.0.1", 9001)
    gc.collect()
    tracemalloc.start()
    view = MembershipView(record, random.Random(1), 0)
    view.merge_view(
        [
            MemberRecord(
                f"dc-{number % 8 + 1}-{number:03d}",
                1_700_000_000_000 + number,
                0,
                MemberState.ALIVE,
                f"dc-{number % 8 + 1}",
                f"10.1.{number // 250}.{number % 250}",
                9001,
            )
            for number in range(node_count - 1)
        ],
        0,
    )
    view.tick(2_000)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(used_bytes)


def _make_changes(seed: int) -> list[tuple[Effect, ...]]:
    move = SlotsMoved("service-0000", (SlotMove("upstream-00001", _MOVED_SLOTS),), GROUP)
    listing = make_listing(
        "service-0000", "upstream-00002", 2, _MOVED_SLOTS, _LARGE_LIST_FLOWS, seed
    )
    return [make_service_effects(0, range(7), 3), (move,), (listing,)]


def _measure_size(seed: int, node_count: int, figures: dict[str, float]) -> None:
    cost = FleetCost(seed, node_count)
    started = time.process_time()
    quiet_mean, quiet_max = cost.measure(_QUIET_MS)
    spent_s = time.process_time() - started
    core_share = spent_s / (_QUIET_MS / 1_000) / node_count
    _, move_bytes, list_bytes = [
        cost.measure_change(effects, quiet_mean) for effects in _make_changes(seed)
    ]
    replacement_bytes = cost.measure_replacement(quiet_mean)
    # Each change moves slots and later lists the exceptions, so it makes two entries.
    daily_bytes = CHANGES_PER_DAY * (move_bytes + list_bytes)
    daily_bytes += REPLACEMENTS_PER_DAY * node_count / 640 * replacement_bytes
    key = f"instances_{node_count}"
    figures[f"{key}_quiet_bytes_per_s"] = quiet_mean
    figures[f"{key}_quiet_largest_bytes_per_s"] = quiet_max
    figures[f"{key}_move_bytes"] = move_bytes
    figures[f"{key}_list_bytes"] = list_bytes
    figures[f"{key}_replacement_bytes"] = replacement_bytes
    figures[f"{key}_day_bytes_per_s"] = quiet_mean + daily_bytes / _SECONDS_PER_DAY
    figures[f"{key}_core_share"] = core_share
    figures[f"{key}_memory_mb"] = measure_view_memory(node_count) / 1e6


@register_bench("control-cost")
def run_control_cost_bench(seed: int) -> BenchReport:
    """Measures bytes, processor time and memory for fleets of 9 to 640 instances.

    Processor time includes the simulation of the links, so it is an upper limit.
    """
    figures: dict[str, float] = {}
    naive: dict[str, float] = {}
    for node_count in FLEET_SIZES:
        _measure_size(seed, node_count, figures)
        name = f"instances_{node_count}_day_bytes_per_s"
        naive[name] = count_naive_bytes_per_s(node_count)
    for suffix in ("day_bytes_per_s", "core_share", "memory_mb"):
        values = [figures[f"instances_{node_count}_{suffix}"] for node_count in FLEET_SIZES]
        figures[f"slope_per_instance_{suffix}"] = fit_slope(FLEET_SIZES, values)
    naive["slope_per_instance_day_bytes_per_s"] = fit_slope(
        FLEET_SIZES,
        [naive[f"instances_{node_count}_day_bytes_per_s"] for node_count in FLEET_SIZES],
    )
    bounds = [
        Bound(name, limit, figures[name])
        for node_count in FLEET_SIZES
        for name, limit in (
            (f"instances_{node_count}_day_bytes_per_s", BYTES_PER_S_MAX),
            (f"instances_{node_count}_quiet_largest_bytes_per_s", BYTES_PER_S_MAX),
            (f"instances_{node_count}_core_share", CORE_SHARE_MAX),
        )
    ]
    return BenchReport("control-cost", seed, figures, naive, tuple(bounds))
