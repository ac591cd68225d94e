"""Faults of the soak end what they began, whatever the load of the machine."""

import random

import anyio

from catkinspread.clock import SystemClock
from catkinspread.platform.stand_ins import StoreMode
from catkinspread.soak.disturbances import DisturbanceTracker
from catkinspread.soak.faults import fail_store, kill_one, lapse_entries
from catkinspread.soak.guarantees import STABLE_MS


class SlowlyEndingInstance:
    """An instance whose process is still there for some checks after it was killed."""

    def __init__(self) -> None:
        self.name = "instance-0"
        self.incarnation = 1
        self._checks_until_end = 0

    @property
    def is_running(self) -> bool:
        self._checks_until_end -= 1
        return self._checks_until_end >= 0

    def kill(self) -> None:
        self._checks_until_end = 3

    def start(self) -> None:
        self.incarnation += 1


class OneInstanceSite:
    """The parts of a site that killing an instance needs."""

    def __init__(self, instance: SlowlyEndingInstance) -> None:
        self.instances = [instance]
        self.disturbances = DisturbanceTracker(STABLE_MS)
        self.clock = SystemClock()


def test_killed_instance_that_ends_late_is_started_again():
    """Guards against instances that stay away because they had not ended yet at their restart."""
    instance = SlowlyEndingInstance()
    anyio.run(kill_one, OneInstanceSite(instance), random.Random(2))
    assert instance.incarnation == 2


class RecordingStore:
    """A store that records the modes that it was set to."""

    def __init__(self) -> None:
        self.modes: list[StoreMode] = []

    @property
    def mode(self) -> StoreMode:
        return self.modes[-1]

    @mode.setter
    def mode(self, mode: StoreMode) -> None:
        self.modes.append(mode)


class StoreSite:
    """The parts of a site that faults of the store need."""

    def __init__(self) -> None:
        self.store = RecordingStore()
        self.store_modes: list[StoreMode] = []
        self.disturbances = DisturbanceTracker(STABLE_MS)
        self.clock = SystemClock()

    def list_upstreams(self) -> list[object]:
        return []


def test_store_stays_away_until_the_last_fault_of_it_ends():
    """Guards against entries that lapse in an outage and are missing while the store answers."""
    site = StoreSite()

    async def run() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(lapse_entries, site, random.Random(2))
            await anyio.sleep(0.01)
            group.start_soon(fail_store, site, random.Random(10))

    anyio.run(run)
    assert site.store.modes.count(StoreMode.NORMAL) == 1
    assert site.store.mode is StoreMode.NORMAL
