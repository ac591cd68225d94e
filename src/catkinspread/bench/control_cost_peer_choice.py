"""Bench `control-cost-peer-choice`: random peers of a full view against view shuffling.

In view shuffling (Busnel, Beraldi, Baldoni 2011) an instance knows only a few others. Two
instances that meet swap random halves of what they know. The bench counts how many rounds an
update needs to reach all, and how many contacts go to failed instances, which shuffling
cannot tell from live ones.
"""

import random
import statistics

from catkinspread.bench.registry import BenchReport, register_bench

_NODE_COUNT = 640
_VIEW_SIZE = 16
_WARMUP_ROUNDS = 40
_ROUNDS_MAX = 60
_LOSS = 0.02
_RUNS = 10
# Encoded size of a member record, as in a view page.
_RECORD_BYTES = 45


class _FullView:
    """Chooses among all members that are not known to have failed."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._alive = list(range(_NODE_COUNT))

    def choose(self, node: int) -> int:
        while (peer := self._rng.choice(self._alive)) == node:
            continue
        return peer

    def meet(self, node: int, peer: int) -> None:
        """A full view needs no exchange of members."""

    def fail(self, failed: set[int], is_noticed: bool) -> None:
        if is_noticed:
            self._alive = [node for node in self._alive if node not in failed]


class _ShuffledViews:
    """Chooses among the few members that a node knows."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        nodes = range(_NODE_COUNT)
        self._views = [
            [peer for peer in rng.sample(nodes, _VIEW_SIZE + 1) if peer != node][:_VIEW_SIZE]
            for node in nodes
        ]
        self._failed: set[int] = set()

    def choose(self, node: int) -> int:
        return self._rng.choice(self._views[node])

    def meet(self, node: int, peer: int) -> None:
        mine, theirs = self._views[node], self._views[peer]
        self._rng.shuffle(mine)
        self._rng.shuffle(theirs)
        half = _VIEW_SIZE // 2
        given, taken = mine[:half], theirs[:half]
        self._views[node] = self._fill(node, taken + mine[half:], given)
        self._views[peer] = self._fill(peer, given + theirs[half:], taken)

    def fail(self, failed: set[int], is_noticed: bool) -> None:
        """A failed node stays in views: nobody has a list of the live ones."""

    def _fill(self, node: int, members: list[int], spare: list[int]) -> list[int]:
        unique = list(dict.fromkeys(peer for peer in members + spare if peer != node))
        return unique[:_VIEW_SIZE]


def _run_once(views, rng: random.Random, failed_count: int) -> tuple[float, float, float]:
    """Returns rounds until all live nodes know, share of them, and share of lost contacts."""
    failed = set(rng.sample(range(_NODE_COUNT), failed_count))
    live = [node for node in range(_NODE_COUNT) if node not in failed]
    for _ in range(_WARMUP_ROUNDS):
        for node in range(_NODE_COUNT):
            views.meet(node, views.choose(node))
    views.fail(failed, is_noticed=True)
    informed = {live[0]}
    contacts = wasted = rounds = 0
    while len(informed) < len(live) and rounds < _ROUNDS_MAX:
        rounds += 1
        rng.shuffle(live)
        for node in live:
            peer = views.choose(node)
            contacts += 1
            if peer in failed:
                wasted += 1
                continue
            if rng.random() < _LOSS:
                continue
            views.meet(node, peer)
            if node in informed or peer in informed:
                informed.update((node, peer))
    return float(rounds), len(informed) / len(live), wasted / contacts


def _measure(make_views, seed: int, failed_count: int) -> tuple[float, float, float]:
    results = []
    for run in range(_RUNS):
        rng = random.Random(seed * 1_000 + run)
        results.append(_run_once(make_views(rng), rng, failed_count))
    return tuple(statistics.fmean(column) for column in zip(*results, strict=True))


@register_bench("control-cost-peer-choice")
def run_peer_choice_bench(seed: int) -> BenchReport:
    """Compares both ways without failures and with 64 of 640 instances failed."""
    figures: dict[str, float] = {}
    others: dict[str, float] = {}
    for failed_count in (0, 64):
        for make_views, target in ((_FullView, figures), (_ShuffledViews, others)):
            rounds, share, wasted = _measure(make_views, seed, failed_count)
            target[f"failed_{failed_count}_rounds"] = rounds
            target[f"failed_{failed_count}_informed_share"] = share
            target[f"failed_{failed_count}_wasted_share"] = wasted
    figures["exchange_bytes"] = 0.0
    others["exchange_bytes"] = float(_VIEW_SIZE // 2 * _RECORD_BYTES * 2)
    return BenchReport("control-cost-peer-choice", seed, figures, others)
