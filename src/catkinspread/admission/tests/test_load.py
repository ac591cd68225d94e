"""What callers get under load; the bounds are the targets of the design page."""

import functools
import math

import pytest

from catkinspread.admission.settings import AdmissionMode, AdmissionSettings
from catkinspread.admission.tests.load_play import SERVICE, Outcome, Play, measure

# Instances and upstreams of each data centre.
SIZES = [(3, 4), (9, 6), (63, 6), (300, 6)]
SMALL = (9, 6)
VALUE_MIN = 0.95
TOP_MIN = 0.98
TOP, LOWEST = 1, 3
LOWEST_WORK_MIN = 0.02
# The page gives no figures for these two. A caller would notice a larger difference.
REFUSED_DEVIATION_MAX = 0.1
DATA_CENTRE_SHARE_MIN = 0.8
# Part of a play with steady demand that is measured, after it has settled.
FROM_MS, TO_MS = 6_000, 14_000
END_MS = 16_000


def _play(size: tuple[int, int], demand: float, is_plain: bool = False, **options: float) -> Play:
    settings = None if is_plain else AdmissionSettings(mode=AdmissionMode.AUTO)
    return Play(size[0], lambda _centre, _ms: demand, settings, upstream_count=size[1], **options)


@functools.cache
def _run(size: tuple[int, int], demand: float, is_plain: bool = False) -> Outcome:
    play = _play(size, demand, is_plain)
    play.run(END_MS)
    return measure(play, FROM_MS, TO_MS)


def _check_served(outcome: Outcome) -> None:
    assert outcome.within_objective[TOP] >= TOP_MIN
    assert outcome.value >= VALUE_MIN * outcome.best_value


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("demand", [1.2, 2.0, 5.0])
def test_steady_demand_is_served_by_priority(size: tuple[int, int], demand: float) -> None:
    """Guards against idle slots, late answers and lost priorities while a service is limited."""
    outcome = _run(size, demand)
    assert outcome.within_objective[TOP] >= TOP_MIN
    assert outcome.lowest_work_share >= LOWEST_WORK_MIN
    assert outcome.value >= _run(size, demand, is_plain=True).value
    if demand == 2.0:
        assert outcome.value >= VALUE_MIN * outcome.best_value


@pytest.mark.parametrize("size", SIZES)
def test_refused_share_is_steady_and_alike_in_all_data_centres(size: tuple[int, int]) -> None:
    """Guards against an oscillating share, and against instances that starve their callers."""
    outcome = _run(size, 2.0)
    mean = sum(outcome.refused) / len(outcome.refused)
    assert max(abs(share - mean) for share in outcome.refused) <= REFUSED_DEVIATION_MAX
    shares = outcome.answered_by_data_centre.values()
    assert min(shares) >= DATA_CENTRE_SHARE_MIN * sum(shares) / len(shares)


@pytest.mark.parametrize("size", SIZES)
def test_nothing_is_refused_while_there_is_room(size: tuple[int, int]) -> None:
    """Guards against refusals by estimates that vary."""
    assert max(_run(size, 0.8).refused) == 0


@pytest.mark.parametrize("size", SIZES)
def test_highest_priority_is_served_in_a_burst(size: tuple[int, int]) -> None:
    """Guards against full queues until old summaries show a sudden demand of 3 times the room."""
    play = Play(
        size[0],
        lambda _centre, ms: 3.0 if 4_000 <= ms < 9_000 else 0.5,
        AdmissionSettings(mode=AdmissionMode.AUTO),
        upstream_count=size[1],
    )
    play.run(14_000)
    assert measure(play, 0, 12_000).within_objective[TOP] >= TOP_MIN
    # The limit ends once the burst is over.
    assert max(measure(play, 11_000, 13_000).refused) == 0


@pytest.mark.parametrize("size", SIZES)
def test_waves_in_opposite_phase_fill_the_room_of_both(size: tuple[int, int]) -> None:
    """Guards against refusals in a data centre with much demand while the other has room."""
    play = Play(
        size[0],
        lambda centre, ms: 0.8 + (-1) ** centre * 0.6 * math.sin(2 * math.pi * ms / 10_000),
        AdmissionSettings(mode=AdmissionMode.AUTO),
        upstream_count=size[1],
        data_centre_count=2,
    )
    play.run(14_000)
    outcome = measure(play, 0, 12_000)
    assert max(outcome.refused) == 0
    assert outcome.within_objective[TOP] >= TOP_MIN


@pytest.mark.parametrize("size", SIZES)
def test_loss_of_a_data_centre(size: tuple[int, int]) -> None:
    """Guards against lost priorities when a third of the room and not of the callers is lost."""
    play = _play(size, 0.9)
    play.run(4_000)
    play.lost.add(2)
    play.run(12_000)
    assert measure(play, 4_000, 14_000).within_objective[TOP] >= TOP_MIN
    outcome = measure(play, 8_000, 14_000)
    assert outcome.value >= VALUE_MIN * outcome.best_value
    assert min(outcome.answered_by_data_centre.values()) > 0.5


@pytest.mark.parametrize("fault", ["join", "cut_off", "restart"])
@pytest.mark.parametrize("size", SIZES)
def test_changes_of_instances_while_limited(size: tuple[int, int], fault: str) -> None:
    """Guards against a wrong level of instances that start, or that hear from no other one."""
    play = _play(size, 2.0)
    play.run(6_000)
    if fault == "join":
        for data_centre in range(3):
            play.join(data_centre)
    elif fault == "cut_off":
        play.instances[0].is_cut_off = True
    else:
        play.restart(0)
    play.run(8_000)
    _check_served(measure(play, 6_000, 12_000))


def test_restarted_instance_is_limited_within_a_second() -> None:
    """Guards against an instance that admits everything after it was killed and restarted."""
    play = _play(SMALL, 2.0)
    play.run(6_000)
    play.restart(0)
    play.run(1_000)
    service = play.instances[0].policy.list_services()[0]
    assert service.service == SERVICE
    assert service.is_limited


@pytest.mark.parametrize("size", SIZES)
def test_lost_summaries(size: tuple[int, int]) -> None:
    """Guards against a wrong level once all summaries have expired."""
    play = _play(size, 2.0)
    play.run(6_000)
    play.lost_summaries = True
    play.run(10_000)
    _check_served(measure(play, 6_000, 14_000))


@pytest.mark.parametrize("size", SIZES)
def test_split_that_heals(size: tuple[int, int]) -> None:
    """Guards against callers of a separated data centre without room, also after the split."""
    play = _play(size, 2.0)
    play.run(6_000)
    play.separated.add(2)
    play.run(4_000)
    play.separated.clear()
    play.run(6_000)
    outcome = measure(play, 6_000, 14_000)
    _check_served(outcome)
    shares = outcome.answered_by_data_centre.values()
    assert min(shares) >= DATA_CENTRE_SHARE_MIN * sum(shares) / len(shares)


@pytest.mark.parametrize("work_error", [0.7, 1.4])
def test_wrong_work_is_corrected(work_error: float) -> None:
    """Guards against idle slots or full queues because the learned work is wrong."""
    play = _play(SMALL, 2.0, work_error=work_error)
    play.run(END_MS)
    _check_served(measure(play, FROM_MS, TO_MS))
