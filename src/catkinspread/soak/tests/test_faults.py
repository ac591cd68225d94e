"""Faults of the soak end what they began, whatever the load of the machine."""

import random

import anyio

from catkinspread.clock import SystemClock
from catkinspread.soak.disturbances import DisturbanceTracker
from catkinspread.soak.faults import kill_one
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
