"""Overload of a service whose instances are real processes."""

import pathlib
from collections.abc import Awaitable, Callable

import anyio
import pytest

from catkinspread.admission.settling import SETTLING_MS
from catkinspread.explain import LogIndex, format_caller_story, read_log_lines
from catkinspread.runtime.tests.overload_site import (
    HIGH_PORT,
    LOW_PORT,
    OverloadSite,
    count_outcomes,
)

# One upstream is five times as slow as the other. They can answer 50 and 10 requests per second.
WORK_MS = (40, 200)
OVERLOAD_PER_S = {HIGH_PORT: 20.0, LOW_PORT: 80.0}
CALM_PER_S = {HIGH_PORT: 10.0, LOW_PORT: 10.0}
# Time in which the level settles.
SETTLE_MS = 4_000
MEASURED_MS = 6_000
# Time for which the load goes on while metrics are read.
AFTER_SETTLE_MS = 1_000
# Time until the routers have missed two readiness checks.
ROTATION_LAG_S = 0.8
RELEASE_TIMEOUT_S = 10


def _play(
    tmp_path: pathlib.Path,
    scenario: Callable[[OverloadSite], Awaitable[None]],
    admission: str = "\n[admission]\nmode = auto\n",
    is_calm_first: bool = True,
) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group:
            site = OverloadSite(group, tmp_path, WORK_MS, admission)
            try:
                await site.start()
                if is_calm_first:
                    # Instances that have all just started limit nothing of their own.
                    await site.offer(SETTLING_MS, CALM_PER_S)
                await scenario(site)
            finally:
                site.close()
            group.cancel_scope.cancel()

    anyio.run(run)


def _is_limited(site: OverloadSite, number: int) -> bool:
    changes = site.instances[number].find_events("admission_changed")
    return bool(changes) and changes[-1]["is_limited"]


@pytest.mark.parametrize("is_calm_first", [True, False])
def test_overload_refuses_the_lower_priority_and_serves_the_higher(
    tmp_path: pathlib.Path, is_calm_first: bool
) -> None:
    """Guards against a request of the highest priority that waits behind or fails for others.

    Also if instances start in an overload, when nobody knows the work of a request.
    """

    async def scenario(site: OverloadSite) -> None:
        settle_ms = SETTLE_MS if is_calm_first else SETTLING_MS + SETTLE_MS
        await site.offer(settle_ms, OVERLOAD_PER_S)
        measured = await site.offer(MEASURED_MS, OVERLOAD_PER_S)
        high, low = count_outcomes(measured, "high"), count_outcomes(measured, "low")
        assert high["answered"] >= 0.95 * high.total(), (high, low)
        assert not high["refused"], (high, low)
        assert low["refused"] >= 0.3 * low.total(), (high, low)
        assert low["answered"] > 0, (high, low)
        refused = sorted(found.took_ms for found in measured if found.outcome == "refused")
        assert refused[len(refused) // 2] < 100
        await site.offer(2_000, CALM_PER_S)
        for number in range(2):
            await site.wait_until(lambda n=number: not _is_limited(site, n), RELEASE_TIMEOUT_S)
        calm = await site.offer(2_000, CALM_PER_S)
        assert {found.outcome for found in calm} == {"answered"}

    _play(tmp_path, scenario, is_calm_first=is_calm_first)


def test_operators_see_why_a_caller_was_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a refusal that lines, metrics and the command do not explain."""

    async def scenario(site: OverloadSite) -> None:
        instance = site.instances[0]
        async with anyio.create_task_group() as group:
            group.start_soon(site.offer, SETTLE_MS + AFTER_SETTLE_MS, OVERLOAD_PER_S)
            await anyio.sleep(SETTLE_MS / 1_000)
            # Demand is that of the last second, so it is read while callers ask.
            metrics = await anyio.to_thread.run_sync(instance.read_metrics)
        (change, *_) = instance.find_events("admission_changed")
        assert (change["service"], change["is_limited"], change["slots"]) == ("pages", True, 4)
        assert set(change["demand_ms_per_s"]) == {"0", "2"}
        assert set(change["shares"]) == {"high", "low"}
        line = instance.find_events("flow_refused")[0]
        assert (line["reason"], line["service"], line["priority"]) == ("no_room", "pages", 2)
        assert line["share"] < 1
        assert line["occupancy"] > 0
        for name in (
            'refused_flows_total{reason="no_room",route="low"}',
            'placed_flows_total{data_centre="east",place="local",route="high"}',
            'offered_flows_total{data_centre="east",route="low",verdict="no_room"}',
            'admission_limited{service="pages"} 1.0',
            'admitted_share{route="low"} 0.',
            'room_slots{data_centre="east",service="pages"} 4.0',
            'room_in_flight{data_centre="east",service="pages"}',
            'demand_slots{data_centre="east",kind="offered",priority="2",route="low"',
            'room_is_estimate{service="pages"} 0.0',
        ):
            assert f"catkinspread_{name}" in metrics, name
        index = LogIndex(read_log_lines(instance.log_path.read_text().splitlines()))
        story = format_caller_story(index, line["flow"].partition(":")[0])
        assert "admission_changed" in story
        assert "service pages, priority 2" in story

    _play(tmp_path, scenario)


def test_higher_priority_is_served_while_an_instance_is_killed(tmp_path: pathlib.Path) -> None:
    """Guards against a limit that ends, or a load that counts twice, with one instance."""

    async def scenario(site: OverloadSite) -> None:
        await site.offer(SETTLE_MS, OVERLOAD_PER_S)
        assert _is_limited(site, 1)
        site.instances[0].kill()
        await anyio.sleep(ROTATION_LAG_S)
        site.set_rotation(0, False)
        alone = await site.offer(MEASURED_MS, OVERLOAD_PER_S)
        high, low = count_outcomes(alone, "high"), count_outcomes(alone, "low")
        assert high["answered"] >= 0.95 * high.total(), (high, low)
        assert low["refused"] >= 0.3 * low.total(), (high, low)
        site.instances[0].start()
        await site.wait_until(site.instances[0].has_state)
        site.set_rotation(0, True)
        await site.offer(SETTLE_MS, OVERLOAD_PER_S)
        again = await site.offer(MEASURED_MS, OVERLOAD_PER_S)
        high, low = count_outcomes(again, "high"), count_outcomes(again, "low")
        assert high["answered"] >= 0.95 * high.total(), (high, low)
        assert low["refused"] >= 0.3 * low.total(), (high, low)
        assert _is_limited(site, 0)

    _play(tmp_path, scenario)


def test_admission_that_is_off_refuses_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against a switch that operators rely on and that does nothing."""

    async def scenario(site: OverloadSite) -> None:
        measured = await site.offer(SETTLE_MS, OVERLOAD_PER_S)
        assert not any(found.outcome == "refused" for found in measured)

    _play(tmp_path, scenario, "\n[admission]\nmode = off\n")
