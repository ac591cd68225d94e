"""Bench `data-centre-out`: a data centre leaves under load and returns in steps."""

from collections import Counter

from catkinspread.bench.broken_flows import Operator, add_figures
from catkinspread.bench.cluster import ClusterOptions
from catkinspread.bench.deployments import DEPLOYMENTS, Deployment
from catkinspread.bench.flows import LATE_MS, FlowFigures, FlowModel
from catkinspread.bench.registry import BenchReport, Bound, register_bench
from catkinspread.model import DataCentreState
from catkinspread.routing import PacketKind, current_upstream

_FLOWS = 9_000
_OPENING_MS = 110_000
_RUN_MS = 150_000
_LIFETIME_MS = 8_000
_OUT_MS = 30_000
_BACK_MS = 65_000
_WINDOW_MS = 20_000
_SAMPLE_MS = 500


class _LoadModel(FlowModel):
    """Counts new flows by upstream and time window, and slots by time."""

    def __init__(self, deployment: Deployment, seed: int, options: ClusterOptions) -> None:
        super().__init__(deployment, seed, options)
        self.start_ms = self.cluster.now_ms
        self.opened: dict[str, Counter] = {"before": Counter(), "out": Counter()}
        self.largest_step_slots = 0
        self.return_ms = 0
        self._slots: Counter = Counter()

    def _reach(self, now_ms: int, kind: PacketKind, flow, upstream) -> None:
        super()._reach(now_ms, kind, flow, upstream)
        if kind is not PacketKind.OPEN:
            return
        at_ms = now_ms - self.start_ms
        if at_ms < _OUT_MS:
            self.opened["before"][upstream.name] += 1
        # Transitions need up to LATE_MS before all new flows are elsewhere.
        elif _OUT_MS + LATE_MS <= at_ms < _OUT_MS + LATE_MS + _WINDOW_MS:
            self.opened["out"][upstream.name] += 1

    def sample_slots(self, data_centre: str) -> None:
        """Notes how many slots the upstreams of a data centre gained since the last sample."""
        configuration = self.cluster.configuration
        slots: Counter = Counter()
        for table in configuration.slot_tables.values():
            for slot in range(len(table.bases)):
                slots[current_upstream(table, slot)] += 1
        for name, count in slots.items():
            if name and configuration.upstreams[name].data_centre == data_centre:
                gained = count - self._slots[name]
                if gained > 0 and self._slots:
                    self.largest_step_slots = max(self.largest_step_slots, gained)
                    self.return_ms = self.cluster.now_ms - self.start_ms - _BACK_MS
        self._slots = slots
        if self.cluster.now_ms - self.start_ms < _RUN_MS:
            self.cluster.queue.schedule(_SAMPLE_MS, lambda: self.sample_slots(data_centre))


def _imbalance_percent(opened: Counter, names: list[str]) -> float:
    """Returns by how much the most loaded upstream exceeds the mean, in percent."""
    mean = sum(opened[name] for name in names) / len(names)
    return 100 * (max(opened[name] for name in names) / mean - 1)


def _run(deployment: Deployment, seed: int) -> _LoadModel:
    model = _LoadModel(deployment, seed, ClusterOptions())
    operator = Operator(model, deployment)
    queue = model.cluster.queue
    gone = deployment.data_centres[-1]
    model.start_flows(_FLOWS, _OPENING_MS, _LIFETIME_MS)
    queue.schedule(_OUT_MS, lambda: operator.set_data_centre(gone, DataCentreState.OUT))
    queue.schedule(_BACK_MS, lambda: model.sample_slots(gone))
    queue.schedule(_BACK_MS, lambda: operator.set_data_centre(gone, DataCentreState.IN))
    queue.run_until(model.cluster.now_ms + _RUN_MS)
    model.figures.message_bytes = model.cluster.message_bytes
    return model


@register_bench("data-centre-out")
def run_data_centre_out(seed: int) -> BenchReport:
    """Takes one of three data centres out for 35 s and brings it back in steps."""
    total = FlowFigures()
    figures: dict[str, float] = {}
    for number, deployment in enumerate(DEPLOYMENTS):
        model = _run(deployment, seed * 10 + number)
        add_figures(total, model.figures)
        gone = deployment.data_centres[-1]
        prefix = deployment.name
        service = next(iter(deployment.services))
        upstreams = [
            upstream
            for upstream in model.cluster.configuration.upstreams.values()
            if upstream.service == service
        ]
        staying = [value.name for value in upstreams if value.data_centre != gone]
        names = [upstream.name for upstream in upstreams]
        before = _imbalance_percent(model.opened["before"], names)
        out = _imbalance_percent(model.opened["out"], staying)
        figures[f"{prefix}_most_loaded_before_percent"] = round(before, 1)
        figures[f"{prefix}_most_loaded_while_out_percent"] = round(out, 1)
        figures[f"{prefix}_largest_return_step_slots"] = model.largest_step_slots
        figures[f"{prefix}_return_ms"] = model.return_ms
    figures.update(
        {
            "flows": total.flows,
            "last_packet_to_out_ms": total.last_out_ms,
            "broken_flows_elsewhere": total.broken,
            "given_up_flows": total.given_up,
            "unopened_flows": total.unopened,
            "other_service_packets": total.other_service,
        }
    )
    figures.update({f"dropped_{key}": value for key, value in sorted(total.dropped.items())})
    return BenchReport(
        bench="data-centre-out",
        seed=seed,
        figures=figures,
        naive_figures={
            "modulo_broken_flows": total.broken_modulo,
            "local_table_broken_flows": total.broken_table,
        },
        bounds=(
            Bound("last_packet_to_out_ms", LATE_MS, total.last_out_ms),
            Bound("broken_flows_elsewhere", 0, total.broken),
            Bound("other_service_packets", 0, total.other_service),
        ),
    )
