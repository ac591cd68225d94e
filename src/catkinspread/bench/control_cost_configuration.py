"""Bench `control-cost-configuration`: what the configuration costs an instance, by its size."""

import gc
import random
import time
import tracemalloc

from catkinspread.bench.control_cost import (
    CHANGES_PER_DAY,
    CORE_SHARE_MAX,
    REPLACEMENTS_PER_DAY,
    measure_view_memory,
)
from catkinspread.bench.least_squares import fit_slope
from catkinspread.bench.population import (
    build_configuration,
    make_entry,
    make_listing,
    make_move,
)
from catkinspread.bench.registry import BenchReport, Bound, register_bench
from catkinspread.configuration import (
    ConfigurationReplica,
    DataCentreSet,
    Snapshot,
    apply_entry,
    decode_entry,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
    make_entry_record,
)
from catkinspread.configuration.messages import hash_payload
from catkinspread.configuration.tail import TAIL_MAX_BYTES
from catkinspread.model import Configuration, DataCentre

MEMORY_MAX_MB = 128.0
SIZES = ((10, 70), (240, 1_750), (480, 3_500), (960, 7_000))
_SECONDS_PER_DAY = 86_400
_LARGE_LIST_FLOWS = 2_200
_MOVED_SLOTS = tuple(range(146))
_REPEATS = 20
_LISTINGS = (0, 4, 8, 16)


def _measure_memory_bytes(make) -> tuple[float, object]:
    gc.collect()
    tracemalloc.start()
    made = make()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(used_bytes), made


def _time_ms(function, repeats: int = _REPEATS) -> float:
    started = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started) * 1_000 / repeats


def _time_entry_ms(configuration: Configuration, effects: tuple) -> float:
    """Times hashing, decoding and applying an entry."""
    payload = encode_entry(make_entry(effects))
    index = configuration.version + 1

    def apply() -> None:
        hash_payload(payload)
        apply_entry(configuration, index, decode_entry(payload))

    return _time_ms(apply)


def _measure_size(services: int, upstreams: int, seed: int) -> dict[str, float]:
    built = build_configuration(services, upstreams)
    payload = encode_snapshot(Snapshot(built, 1))
    memory_bytes, snapshot = _measure_memory_bytes(lambda: decode_snapshot(payload))
    configuration = snapshot.configuration
    move = make_move("service-0001", "upstream-00008", _MOVED_SLOTS)
    moved = apply_entry(configuration, configuration.version + 1, make_entry((move,)))
    listing = make_listing(
        "service-0001", "upstream-00009", moved.version, _MOVED_SLOTS, _LARGE_LIST_FLOWS, seed
    )
    outage = tuple(
        make_move(name, "upstream-00008", _MOVED_SLOTS) for name in configuration.services
    )
    return {
        "memory_mb": memory_bytes / 1e6,
        "move_ms": _time_entry_ms(configuration, (move,)),
        "list_ms": _time_entry_ms(moved, (listing,)),
        "all_services_move_ms": _time_ms(
            lambda: apply_entry(configuration, configuration.version + 1, make_entry(outage)), 3
        ),
        "snapshot_bytes": float(len(payload)),
        "snapshot_encode_ms": _time_ms(lambda: encode_snapshot(snapshot), 1),
        "snapshot_decode_ms": _time_ms(lambda: decode_snapshot(payload), 1),
    }


def _measure_exceptions(seed: int) -> float:
    """Returns the bytes of memory for each exception."""
    base = build_configuration(20, 140)
    counts: list[float] = []
    used: list[float] = []
    for listings in _LISTINGS:

        def add(listings: int = listings) -> Configuration:
            configuration = base
            for number in range(listings):
                service = f"service-{number:04d}"
                for effect in (
                    make_move(service, f"upstream-{number * 7:05d}", _MOVED_SLOTS),
                    make_listing(
                        service,
                        f"upstream-{number * 7 + 1:05d}",
                        configuration.version + 1,
                        _MOVED_SLOTS,
                        _LARGE_LIST_FLOWS,
                        seed + number,
                    ),
                ):
                    entry = decode_entry(encode_entry(make_entry((effect,))))
                    configuration = apply_entry(configuration, configuration.version + 1, entry)
            return configuration

        memory_bytes, _ = _measure_memory_bytes(add)
        counts.append(float(listings * _LARGE_LIST_FLOWS))
        used.append(memory_bytes)
    return fit_slope(counts, used)


def _measure_tail(seed: int) -> float:
    """Returns the bytes of memory of a tail that is full."""
    rng = random.Random(seed)

    def fill() -> ConfigurationReplica:
        replica = ConfigurationReplica("a", rng, 0)
        replica.start_empty(0)
        previous = 0
        for index in range(1, 520):
            effects = (DataCentreSet(DataCentre("dc-1", "r" + "x" * 19_000)),)
            payload = encode_entry(make_entry(effects, f"c{index}", previous))
            previous = hash_payload(payload)
            replica.apply(make_entry_record(index, payload))
        return replica

    memory_bytes, _ = _measure_memory_bytes(fill)
    return memory_bytes


def read_resident_mb() -> float:
    """Returns the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4_096 / 1e6


@register_bench("control-cost-configuration")
def run_configuration_cost_bench(seed: int) -> BenchReport:
    """Measures memory and processor time for configurations of four sizes."""
    resident_mb = read_resident_mb()
    figures: dict[str, float] = {}
    results = []
    for services, upstreams in SIZES:
        results.append(_measure_size(services, upstreams, seed))
        for name, value in results[-1].items():
            figures[f"services_{services}_{name}"] = value
    for position, kind in enumerate(("service", "upstream")):
        sizes = [size[position] for size in SIZES]
        for name in ("memory_mb", "move_ms", "list_ms", "snapshot_bytes"):
            figures[f"slope_per_{kind}_{name}"] = fit_slope(sizes, [r[name] for r in results])
    full = results[-1]
    daily_ms = CHANGES_PER_DAY * (full["move_ms"] + full["list_ms"])
    figures["entries_core_share"] = daily_ms / 1_000 / _SECONDS_PER_DAY
    starts_per_day = REPLACEMENTS_PER_DAY / 640
    figures["snapshot_starts_bytes_per_s"] = (
        starts_per_day * full["snapshot_bytes"] / _SECONDS_PER_DAY
    )
    exception_bytes = _measure_exceptions(seed)
    figures["exception_memory_bytes"] = exception_bytes
    figures["resident_before_mb"] = resident_mb
    figures["view_640_memory_mb"] = measure_view_memory(640) / 1e6
    figures["full_tail_memory_mb"] = _measure_tail(seed) / 1e6
    figures["total_without_exceptions_mb"] = (
        resident_mb
        + full["memory_mb"]
        + figures["view_640_memory_mb"]
        + figures["full_tail_memory_mb"]
    )
    figures["total_with_exceptions_of_a_day_mb"] = (
        figures["total_without_exceptions_mb"]
        + CHANGES_PER_DAY * _LARGE_LIST_FLOWS * exception_bytes / 1e6
    )
    room_bytes = (MEMORY_MAX_MB - figures["total_without_exceptions_mb"]) * 1e6
    figures["exceptions_that_fit"] = room_bytes / exception_bytes
    figures["exceptions_of_a_day"] = float(CHANGES_PER_DAY * _LARGE_LIST_FLOWS)
    figures["tail_limit_mb"] = TAIL_MAX_BYTES / 1e6
    bounds = (
        Bound(
            "total_with_exceptions_of_a_day_mb",
            MEMORY_MAX_MB,
            figures["total_with_exceptions_of_a_day_mb"],
        ),
        Bound("entries_core_share", CORE_SHARE_MAX, figures["entries_core_share"]),
    )
    return BenchReport("control-cost-configuration", seed, figures, {}, bounds)
