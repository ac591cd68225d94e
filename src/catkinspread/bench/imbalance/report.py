"""Runs all parts of the bench `imbalance` and reports their figures."""

from catkinspread.bench.imbalance.cold_start import (
    INSTANCE_COUNT,
    LOW_RATES,
    RATES,
    CapFigures,
    measure_buckets,
    measure_shares,
)
from catkinspread.bench.imbalance.overload import (
    DEFAULT_RATES,
    STATED_RATES,
    OverloadFigures,
    QueueKind,
    count_false_restarts,
    measure_overload,
    measure_turn,
)
from catkinspread.bench.imbalance.placement import (
    FLOW_LIFETIME_MEAN_S,
    FLOWS_PER_UPSTREAM,
    LeastLoaded,
    LeastReported,
    Modulo,
    PlacementFigures,
    RandomChoice,
    Scenario,
    Slots,
    SlotsWithOverflow,
    Strategy,
    build_trace,
    run_placement,
)
from catkinspread.bench.registry import BenchReport, Bound, register_bench

SERVICES = (
    ("kalahari_recipe_desk", "recipe-desk", 7),
    ("kalahari_plate_vault", "plate-vault", 3),
    ("midland_catalogue", "catalogue", 7),
    ("midland_templates", "templates", 3),
)
# The load of flows differs in these scenarios; they only weigh better placements.
_WEIGHED = (Scenario.HEAVY, Scenario.FIXED)
_WEIGHED_SERVICES = SERVICES[:2]

Figures = dict[str, float]


@register_bench("imbalance")
def run_imbalance(seed: int) -> BenchReport:
    """Measures balance, the cold start cap and priorities under overload.

    `figures` holds what catkinspread does and the placements that were weighed for it,
    `naive_figures` the comparisons, with the name of the strategy first.
    """
    figures: Figures = {}
    naive: Figures = {}
    for label, service, count in SERVICES:
        for scenario in Scenario:
            if scenario not in _WEIGHED or (label, service, count) in _WEIGHED_SERVICES:
                _add_scenario(figures, naive, (label, service, count), scenario, seed)
    excesses = _add_cold_start(figures, naive, seed)
    excesses.append(_add_turns(figures, naive, seed))
    _add_overload(figures, naive, seed)
    bound = Bound("cold_start_cap_excess_max_ratio", 0.0, max(excesses))
    return BenchReport("imbalance", seed, figures, naive, (bound,))


def _add_scenario(
    figures: Figures,
    naive: Figures,
    service: tuple[str, str, int],
    scenario: Scenario,
    seed: int,
) -> None:
    label, name, count = service
    trace = build_trace(name, count, scenario, seed)
    flows_per_s = FLOWS_PER_UPSTREAM * count / FLOW_LIFETIME_MEAN_S
    where = f"{label}_{scenario.value}"
    strategies: dict[str, Strategy] = {
        "modulo": Modulo(),
        "random": RandomChoice(seed),
        "least_loaded": LeastLoaded(),
    }
    if scenario is Scenario.MISLEADING:
        strategies["least_reported"] = LeastReported()
    _add_placement(figures, where, run_placement(Slots(count, flows_per_s), trace, count, scenario))
    for strategy_name, strategy in strategies.items():
        found = run_placement(strategy, trace, count, scenario)
        _add_placement(naive, f"{strategy_name}_{where}", found)
    if scenario in (Scenario.STEADY, *_WEIGHED):
        for weighed, strategy in (
            ("adjusted", Slots(count, flows_per_s, is_adjusted=True)),
            ("overflow", SlotsWithOverflow(count, flows_per_s)),
        ):
            found = run_placement(strategy, trace, count, scenario)
            _add_placement(figures, f"weighed_{weighed}_{where}", found)
            figures[f"weighed_{weighed}_{where}_moved_slots"] = found.moved_slots
            figures[f"weighed_{weighed}_{where}_exceptions"] = found.exceptions


def _add_placement(figures: Figures, where: str, found: PlacementFigures) -> None:
    figures[f"{where}_max_over_mean_ratio"] = found.max_over_mean
    figures[f"{where}_deviation_ratio"] = found.deviation
    if "_drain" in where or "_cold_start" in where:
        figures[f"{where}_broken_flows_share"] = found.broken_share
    if "_cold_start" in where:
        figures[f"{where}_first_flows_over_cap_ratio"] = found.cold_flows_over_cap


def _add_cold_start(figures: Figures, naive: Figures, seed: int) -> list[float]:
    excesses: list[float] = []
    for label, rates in (("to_500_per_s", RATES), ("to_50_per_s", LOW_RATES)):
        own = measure_shares(rates, seed)
        _add_cap(figures, f"cap_{label}", own)
        _add_cap(naive, f"whole_allowance_cap_{label}", measure_buckets(rates, seed, divisor=1))
        divided = measure_buckets(rates, seed, divisor=INSTANCE_COUNT)
        _add_cap(naive, f"bucket_per_instance_cap_{label}", divided)
        excesses.append(own.excess_max_ratio)
    return excesses


def _add_cap(figures: Figures, where: str, found: CapFigures) -> None:
    figures[f"{where}_excess_max_ratio"] = found.excess_max_ratio
    figures[f"{where}_exceeded_windows_share"] = found.exceeded_share
    figures[f"{where}_used_share"] = found.used_share


def _add_turns(figures: Figures, naive: Figures, seed: int) -> float:
    for where, target, is_detecting, is_unhealthy in (
        ("cold_turn", figures, True, False),
        ("cold_turn_misleading_health", figures, True, True),
        ("no_detector_cold_turn", naive, False, False),
    ):
        found = measure_turn(seed, is_detecting, is_unhealthy)
        target[f"{where}_noticed_after_ms"] = found.noticed_after_ms
        target[f"{where}_excess_max_ratio"] = found.excess_max_ratio
        target[f"{where}_served_share"] = found.served_share
        target[f"{where}_shed_per_request"] = found.shed_share
        target[f"{where}_notices"] = found.restart_count
    figures["misleading_health_false_restarts"] = count_false_restarts(seed)
    return figures["cold_turn_excess_max_ratio"]


def _add_overload(figures: Figures, naive: Figures, seed: int) -> None:
    for label, rates in (("stated_rate", STATED_RATES), ("default_rate", DEFAULT_RATES)):
        _add_priorities(figures, f"overload_{label}", measure_overload(rates, seed))
        for name, kind in (
            ("fifo", QueueKind.FIFO),
            ("fifo_deadline", QueueKind.FIFO_DEADLINE),
        ):
            found = measure_overload(rates, seed, kind)
            _add_priorities(naive, f"{name}_overload_{label}", found)


def _add_priorities(figures: Figures, where: str, found: OverloadFigures) -> None:
    for priority, item in enumerate(found.priorities):
        figures[f"{where}_priority_{priority}_served_share"] = item.served_share
        figures[f"{where}_priority_{priority}_wait_p99_ms"] = item.wait_p99_ms
    figures[f"{where}_shed_per_request"] = found.shed_share
    figures[f"{where}_false_restarts"] = found.restart_count
