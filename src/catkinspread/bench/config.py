"""Bench `config`: how soon a change is in force everywhere, and whether it ever reverts."""

from catkinspread.bench.configuration_fleet import ConfigurationFleet
from catkinspread.bench.naive_polling import PollingFleet
from catkinspread.bench.population import GROUP, make_listing, make_service_effects
from catkinspread.bench.registry import BenchReport, Bound, register_bench
from catkinspread.configuration import Change, Effect, SlotMove, SlotsMoved

IN_FORCE_MAX_MS = 5_000
_CHANGE_GAP_MS = 3_000
# Delays of a slow platform; answers can overtake each other when polled every 10 s.
_SLOW_MS = (200, 1_500)
_OVERTAKING_MS = (200, 25_000)
_LARGE_LIST_FLOWS = 2_200  # 20 KB when encoded


class _Run:
    """A fleet, the naive one beside it, and the changes written so far."""

    def __init__(self, seed: int, node_count: int, data_centre_count: int, region_count: int):
        self.fleet = ConfigurationFleet(
            seed,
            node_count=node_count,
            data_centre_count=data_centre_count,
            region_count=region_count,
        )
        self.fleet.start_all()
        self.naive = PollingFleet(self.fleet.queue, seed, list(self.fleet.nodes))
        # When the answer arrived, and when the write took effect.
        self.written_ms: dict[int, int] = {}
        self.effect_ms: dict[int, int] = {}
        self.seed = seed
        self.fleet.run(3_000)

    @property
    def version(self) -> int:
        return len(self.written_ms)

    def write(self, effects: tuple[Effect, ...]) -> None:
        """Writes a change at some instance; it counts as accepted when the answer arrives."""
        version = self.version
        writer = self.fleet.rng.choice(self._list_connected())
        change = Change(f"change-{version + 1}", "operator", "", "", effects)
        result = self.fleet.platform.write(change, version)
        if result.is_error():
            raise RuntimeError(f"change {version + 1} was not written: {result.error}")
        self.effect_ms[version + 1] = self.fleet.now_ms
        self.naive.stored = version + 1
        self.fleet.wake_watchers()
        self.fleet.run(self.fleet.platform.draw_latency_ms())
        self.written_ms[version + 1] = self.fleet.now_ms
        self.fleet.feed_writer(writer, result.ok.entry)

    def write_series(self, count: int) -> list[int]:
        """Writes changes, small and large in turn, and returns their versions."""
        first = self.version + 1
        for _ in range(count):
            self.write(self._make_effects())
            self.fleet.run(_CHANGE_GAP_MS)
        return list(range(first, self.version + 1))

    def measure(self, versions: list[int]) -> tuple[float, float]:
        """Returns the longest time until in force everywhere, and the naive one, in ms.

        A version that some running instance lacks counts as 1,000,000 ms.
        """
        names = [node.name for node in self.fleet.list_running()]
        return (
            max(self.find_last(self.fleet.applied_ms, names, version) for version in versions),
            max(self.find_last(self.naive.applied_ms, names, version) for version in versions),
        )

    def measure_from_effect(self, versions: list[int]) -> float:
        """Returns the longest time from the effect of the write until in force everywhere."""
        names = [node.name for node in self.fleet.list_running()]
        lags = []
        for version in versions:
            times = self.fleet.applied_ms.get(version, {})
            if any(name not in times for name in names):
                return 1_000_000.0
            lags.append(max(times[name] for name in names) - self.effect_ms[version])
        return float(max(lags))

    def find_last(self, applied_ms, names: list[str], version: int) -> float:
        times = applied_ms.get(version, {})
        if any(name not in times for name in names):
            return 1_000_000.0
        last_ms = max(times[name] for name in names)
        return float(max(0, last_ms - self.written_ms[version]))

    def _list_connected(self) -> list[str]:
        platform = self.fleet.platform
        nodes = self.fleet.list_running()
        return [node.name for node in nodes if platform.is_reachable(node.data_centre)]

    def _make_effects(self) -> tuple[Effect, ...]:
        if self.version == 0:
            return make_service_effects(0, range(7), 3)
        slots = tuple(range(100))
        target = f"upstream-{self.version % 7:05d}"
        if self.version % 2:
            return (SlotsMoved("service-0000", (SlotMove(target, slots),), GROUP),)
        listing = make_listing(
            "service-0000", target, self.version, slots, _LARGE_LIST_FLOWS, self.seed
        )
        return (listing,)


def _measure_platform_states(run: _Run, figures: dict, naive: dict) -> None:
    def note(name: str, versions: list[int]) -> None:
        run.fleet.run(30_000)
        figures[f"{name}_in_force_ms"], naive[f"{name}_in_force_ms"] = run.measure(versions)
        figures[f"{name}_since_write_took_effect_ms"] = run.measure_from_effect(versions)

    note("up", run.write_series(6))
    run.fleet.platform.latency_ms = _SLOW_MS
    note("slow", run.write_series(6))
    run.fleet.platform.latency_ms = (3, 10)
    run.fleet.platform.store.faults.lost_answers = 6
    note("lost_answers", run.write_series(6))
    figures["entries_written"] = float(len(run.fleet.platform.read_log(0)))
    figures["changes_accepted"] = float(run.version)


def _measure_overtaking(run: _Run, figures: dict, naive: dict) -> None:
    """Changes while reads take so long that answers overtake each other."""
    run.fleet.platform.latency_ms = run.naive.latency_ms = _OVERTAKING_MS
    versions = run.write_series(5)
    run.fleet.run(60_000)
    figures["very_slow_in_force_ms"], naive["very_slow_in_force_ms"] = run.measure(versions)
    figures["very_slow_since_write_took_effect_ms"] = run.measure_from_effect(versions)
    run.fleet.platform.latency_ms = run.naive.latency_ms = (3, 10)
    run.fleet.run(30_000)


def _measure_start_without_platform(run: _Run, figures: dict, naive: dict) -> None:
    run.fleet.platform.is_down = run.naive.is_down = True
    name = list(run.fleet.nodes)[4]
    run.fleet.kill(name)
    run.fleet.run(5_000)
    run.fleet.start(name)
    run.naive.restart(name)
    started_ms = run.fleet.now_ms
    while not run.fleet.replicas[name].is_ready and run.fleet.now_ms - started_ms < 30_000:
        run.fleet.run(100)
    is_current = run.fleet.replicas[name].version == run.version
    lag_ms = run.fleet.now_ms - started_ms
    figures["down_start_ms"] = float(lag_ms) if is_current else 1_000_000.0
    naive["down_start_ms"] = 1_000_000.0 if run.naive.versions[name] is None else 0.0
    run.fleet.platform.is_down = run.naive.is_down = False


def _measure_partition(run: _Run, figures: dict, naive: dict) -> None:
    fleet = run.fleet
    fleet.links.isolate("dc-2")
    fleet.platform.unreachable.add("dc-2")
    run.naive.cut = {node.name for node in fleet.nodes.values() if node.data_centre == "dc-2"}
    fleet.run(20_000)
    versions = run.write_series(4)
    reachable = [node.name for node in fleet.nodes.values() if node.data_centre != "dc-2"]
    applied_ms = fleet.applied_ms
    figures["cut_others_in_force_ms"] = max(
        run.find_last(applied_ms, reachable, version) for version in versions
    )
    # One instance of the cut data centre restarts inside it and must not fall back.
    inside = sorted(run.naive.cut)[0]
    fleet.kill(inside)
    fleet.run(5_000)
    fleet.start(inside)
    fleet.run(10_000)
    fleet.links.cut.clear()
    fleet.platform.unreachable.clear()
    run.naive.cut.clear()
    healed_ms = fleet.now_ms
    fleet.run(30_000)
    for times, target in ((applied_ms, figures), (run.naive.applied_ms, naive)):
        last = times.get(run.version, {})
        is_complete = all(node.name in last for node in fleet.list_running())
        target["healed_in_force_ms"] = (
            float(max(last.values()) - healed_ms) if is_complete else 1_000_000.0
        )


def _measure_large_fleet(seed: int, figures: dict, naive: dict) -> int:
    run = _Run(seed, 640, 8, 2)
    versions = run.write_series(2)
    run.fleet.run(3_000)
    figures["fleet_640_in_force_ms"], _ = run.measure(versions)
    return run.fleet.reversions


@register_bench("config")
def run_config_bench(seed: int) -> BenchReport:
    """Runs 9 instances through states of the platform and a partition, and 640 once."""
    figures: dict[str, float] = {}
    naive: dict[str, float] = {}
    run = _Run(seed, 9, 3, 1)
    _measure_platform_states(run, figures, naive)
    _measure_overtaking(run, figures, naive)
    _measure_start_without_platform(run, figures, naive)
    _measure_partition(run, figures, naive)
    large_reversions = _measure_large_fleet(seed, figures, naive)
    figures["reversions"] = float(run.fleet.reversions + large_reversions)
    figures["entries_refused"] = float(run.fleet.refused)
    naive["reversions"] = float(run.naive.reversions)
    names = [name for name in figures if name.endswith(("_in_force_ms", "_start_ms"))]
    bounds = [Bound(name, IN_FORCE_MAX_MS, figures[name]) for name in names]
    bounds.append(Bound("reversions", 0.0, figures["reversions"]))
    lost = figures["changes_accepted"] - figures["entries_written"]
    bounds.append(Bound("changes_lost_or_doubled", 0.0, abs(lost)))
    return BenchReport("config", seed, figures, naive, tuple(bounds))
