"""Flows that stay open while instances stop and start."""

from collections.abc import Callable

import pytest

from catkinspread.runtime.tests.restart_site import (
    CALLER_LINK_MS,
    UPSTREAM_LINK_MS,
    WORK_MS,
    RestartSite,
    SimulatedInstance,
    TokenHabit,
)

GAP_MS = 3_000
INTERVAL_MS = 20
BUSY_INTERVAL_MS = 7
LONGEST_ANSWER_MS = WORK_MS[1] + 2 * CALLER_LINK_MS + UPSTREAM_LINK_MS
SETTLE_MS = 20_000
HABITS = [TokenHabit.LAST, TokenHabit.HOLDER, TokenHabit.FIRST]


def _play(
    seed: int,
    is_steady: bool = True,
    is_planned: bool = True,
    rounds: int = 5,
    *changes: str,
    interval_ms: int = INTERVAL_MS,
    caller_link_ms: int = CALLER_LINK_MS,
) -> RestartSite:
    """Stops and starts three instances in turn, one every GAP_MS, while callers open flows."""
    site = RestartSite(seed, is_steady)
    site.caller_link_ms = caller_link_ms
    site.build(instances=3, upstreams=9)
    stops = rounds * len(site.instances)
    site.open_flows((stops + 2) * GAP_MS // interval_ms, interval_ms, HABITS)
    site.run(GAP_MS)
    for number in range(stops):
        instance = site.instances[number % len(site.instances)]
        (site.stop_and_start if is_planned else site.kill_and_start)(instance)
        for change in changes:
            _CHANGES[change](site, number)
        site.run(GAP_MS)
    site.run(SETTLE_MS)
    for instance in site.instances:
        site.count_process(instance.harness)
    return site


def _play_loss(seed: int, is_lost: Callable[[SimulatedInstance], bool]) -> RestartSite:
    """Kills instances at once, three times, while callers open flows and pause.

    Upstreams repeat their answers, so that callers return the token of one that holds no flow.
    """
    site = RestartSite(seed)
    site.build(instances=2, upstreams=9, remote_instances=2)
    _slow_answers(site, 0)
    _repeat_answers(site, 0)
    losses = 3
    site.open_flows((losses + 2) * GAP_MS // INTERVAL_MS, INTERVAL_MS, HABITS)
    site.run(GAP_MS)
    for _ in range(losses):
        for instance in site.instances:
            if is_lost(instance):
                site.kill_and_start(instance)
        site.run(GAP_MS)
    site.run(SETTLE_MS)
    for instance in site.instances:
        site.count_process(instance.harness)
    return site


def _release(site: RestartSite, number: int) -> None:
    site.put_upstream(f"v-{number}", "east" if number % 3 else "west")
    site.put_upstream(f"u-{number % 9}", "east" if number % 9 % 3 else "west", is_draining=True)


def _evacuate(site: RestartSite, number: int) -> None:
    site.set_evacuated("west", number % 2 == 0)


def _cut_upstreams(site: RestartSite, number: int) -> None:
    for position, instance in enumerate(site.instances):
        cut = [f"u-{(number + 3 * position + k) % 9}" for k in range(2)]
        instance.unreachable_upstreams = set(cut) if number % 2 else set()


def _lose_messages(site: RestartSite, _: int) -> None:
    site.message_loss_share = 0.05


def _lose_packets(site: RestartSite, _: int) -> None:
    site.packet_loss_share = 0.01


def _repeat_answers(site: RestartSite, _: int) -> None:
    site.repeats_answers = True


def _acknowledge_other_answers(site: RestartSite, _: int) -> None:
    site.acknowledges_other_answers = True


def _slow_answers(site: RestartSite, _: int) -> None:
    site.slow_handshake_share = 0.2
    site.slow_handshake_ms = (30, 2_000)


_CHANGES = {
    "slow_answers": _slow_answers,
    "packet_losses": _lose_packets,
    "repeated_answers": _repeat_answers,
    "acknowledged_answers": _acknowledge_other_answers,
    "releases": _release,
    "evacuations": _evacuate,
    "cut_upstreams": _cut_upstreams,
    "losses": _lose_messages,
}


@pytest.mark.parametrize("is_steady", [True, False], ids=["steady", "mod"])
def test_rolling_restart_resets_no_open_flow(is_steady: bool) -> None:
    """Guards against flows that a restarted instance sends to an upstream that doesn't hold them.

    The instance that got the opening packet repeated it although the handshake had ended through
    another one, and the late answer to it replaced the token of the caller.
    """
    site = _play(1, is_steady)
    assert site.outcomes == {"done": site.outcomes.total()}
    assert site.counts["opened_elsewhere"] > 0
    assert max(site.silences_ms) <= 1.1 * LONGEST_ANSWER_MS


@pytest.mark.parametrize("is_steady", [True, False], ids=["steady", "mod"])
def test_rolling_restart_with_releases_evacuations_and_cuts_resets_no_open_flow(
    is_steady: bool,
) -> None:
    """Guards against resets where repeats of opening packets are common and messages are lost."""
    site = _play(2, is_steady, True, 4, "releases", "evacuations", "cut_upstreams", "losses")
    assert site.outcomes["reset_by_other"] == 0
    assert site.outcomes["not_opened"] == 0


@pytest.mark.parametrize("is_steady", [True, False], ids=["steady", "mod"])
def test_lost_packets_of_callers_use_up_no_messages(is_steady: bool) -> None:
    """Guards against a lost end of a handshake that costs the budget of later questions.

    A flow of which all packets after the opening one are lost is not open, and nobody can tell from
    its token which upstream the caller has chosen.
    """
    site = _play(2, is_steady, True, 5, "packet_losses")
    assert site.count_reset_open_flows() == 0
    assert site.withheld == 0


@pytest.mark.parametrize("is_steady", [True, False], ids=["steady", "mod"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_acknowledged_late_answers_reset_no_open_flow(seed: int, is_steady: bool) -> None:
    """Guards against a packet without data that follows the token of a late answer.

    Upstreams repeat their answers while nobody acknowledges them, and callers acknowledge each.
    """
    site = _play(seed, is_steady, True, 5, "repeated_answers", "acknowledged_answers")
    assert site.outcomes == {"done": site.outcomes.total()}
    assert max(site.silences_ms) <= 1.1 * LONGEST_ANSWER_MS


def test_many_late_answers_leave_messages_for_flows_that_open_during_a_stop() -> None:
    """Guards against a stop that tells flows which are open and has no message left for new ones."""
    site = _play(1, False, True, 5, "slow_answers", interval_ms=BUSY_INTERVAL_MS)
    assert site.withheld == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_instance_that_leaves_answers_where_a_flow_is_open(seed: int) -> None:
    """Guards against a token that is followed while the only instance that knows better leaves."""
    site = _play(seed, seed == 2, True, 5, "slow_answers", interval_ms=BUSY_INTERVAL_MS)
    assert site.count_reset_open_flows() == 0


@pytest.mark.parametrize("is_steady", [True, False], ids=["steady", "mod"])
def test_distant_callers_are_neither_refused_nor_reset(is_steady: bool) -> None:
    """Guards against answers that are taken for missing because the caller is far away.

    Each handshake takes longer than the time after which callers retransmit the opening packet. All
    upstreams were avoided in turn and callers refused.
    """
    site = _play(1, is_steady, True, 3, caller_link_ms=120)
    assert site.outcomes == {"done": site.outcomes.total()}


def test_killed_instances_reset_no_open_flow() -> None:
    """Guards against contested flows that only the killed instance could tell from others."""
    site = _play(2, False, False, 4, "releases", "evacuations")
    assert site.outcomes["reset_by_other"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_kill_of_all_instances_of_a_data_centre_resets_no_open_flow(seed: int) -> None:
    """Guards against contested flows that only one data centre knew, whose instances were all killed.

    Instances of another data centre took the callers meanwhile, and followed the tokens of late
    answers. So did the restarted ones.
    """
    site = _play_loss(seed, lambda instance: instance.data_centre == "east")
    assert site.count_reset_open_flows() == 0
    assert site.counts["corrected"] > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_kill_of_all_instances_resets_no_open_flow(seed: int) -> None:
    """Guards against a token of a late answer that is followed because nobody knows the flow."""
    site = _play_loss(seed, lambda instance: True)
    assert site.count_reset_open_flows() == 0
    assert site.counts["dropped_unknown_flow"] > 0
