"""Discovery of instances that the seeds do not lead to.

The first feeder of each data centre keeps a list of contacts of its data centre in a registry
outside the instances, reads all lists and sends a hello to the listed instances that it does not
know. An instance that has found no other one is the first feeder in its own view, so it does the
same: it finds the others through their lists, and is found through its own. Groups that have lost
contact with each other meet again in the same way.
"""

import random
from collections.abc import Callable

import anyio
import anyio.abc

from catkinspread.clock import Clock
from catkinspread.eventlog import EventLog
from catkinspread.peers.contact_registry import (
    CONTACTS_PER_DATA_CENTRE,
    ContactList,
    ContactRegistry,
    RegistryUnavailable,
)
from catkinspread.peers.directory import PeerDirectory
from catkinspread.peers.messages import Member

# Interval at which unknown contacts get a hello. It is also the delay after the start, in which the
# seeds answer if they can.
ROUND_INTERVAL_MS = 1_000
# Maximum random deviation from ROUND_INTERVAL_MS, as a fraction of it.
_ROUND_JITTER = 0.1
# Hellos that an unknown contact gets after each read. The list of the own data centre is replaced only
# after they were not answered.
CONTACT_ROUNDS = 3
# Maximum number of contacts that get a hello in a round: three of each of eight data centres.
CONTACTS_MAX = 24
# Interval between two reads of the lists by an instance that knows of no other one: the first one,
# which doubles with each read, and the longest one. Also used after failed calls.
CHECK_INTERVAL_MIN_MS = 1_000
CHECK_INTERVAL_MAX_MS = 15_000
# Interval between two reads by an instance that knows others.
GROUP_CHECK_INTERVAL_MS = 30_000
_MS_PER_S = 1_000


class PeerDiscovery:
    """Finds other instances through a registry.

    Args:
        member: This instance.
        registry: Keeps the contacts of all data centres.
        directory: Directory of the other instances.
        contact: Sends a hello to IP addresses.
        events: Log of what was found.
        clock: Source of the time.
        rng: Source of random choices.
    """

    __slots__ = (
        "_check_due_ms",
        "_clock",
        "_contact",
        "_contact_rounds",
        "_directory",
        "_events",
        "_interval_ms",
        "_lists",
        "_member",
        "_registry",
        "_rng",
    )

    def __init__(
        self,
        member: Member,
        registry: ContactRegistry,
        directory: PeerDirectory,
        contact: Callable[[list[str]], None],
        events: EventLog,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._member = member
        self._registry = registry
        self._directory = directory
        self._contact = contact
        self._events = events
        self._clock = clock
        self._rng = rng
        self._lists: tuple[ContactList, ...] = ()
        # Rounds since the last check in which unknown contacts got a hello.
        self._contact_rounds = 0
        self._check_due_ms = 0
        self._interval_ms = CHECK_INTERVAL_MIN_MS

    async def run(self, *, task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED) -> None:
        """Runs a round at each interval until cancelled.

        Args:
            task_status: Notified at the start.
        """
        task_status.started()
        while True:
            jitter = 1 - _ROUND_JITTER + 2 * _ROUND_JITTER * self._rng.random()
            await anyio.sleep(ROUND_INTERVAL_MS * jitter / _MS_PER_S)
            await self.run_round()

    async def run_round(self) -> None:
        """Contacts unknown instances and, when it is due, reads and updates the lists."""
        if not self._directory.is_first_feeder():
            self._forget()
            return
        self._contact_unknown()
        if self._clock.now_ms() < self._check_due_ms:
            return
        try:
            await self._check()
        except RegistryUnavailable as error:
            self._schedule_check(is_soon=True)
            self._events.write("discovery_failed", self._clock.now_ms(), reason=str(error))

    def _forget(self) -> None:
        """Prepares for a check at once when this instance becomes the first feeder."""
        self._lists = ()
        self._check_due_ms = 0
        self._interval_ms = CHECK_INTERVAL_MIN_MS

    def _contact_unknown(self) -> None:
        hosts = self._list_unknown_hosts(self._lists)
        is_alone = self._directory.count_members() == 1
        if not hosts or (self._contact_rounds >= CONTACT_ROUNDS and not is_alone):
            return
        self._contact_rounds += 1
        self._contact(self._rng.sample(hosts, min(CONTACTS_MAX, len(hosts))))

    def _list_unknown_hosts(self, lists: tuple[ContactList, ...]) -> list[str]:
        known = {self._member.host, *self._directory.list_hosts()}
        return sorted({host for found in lists for host in found.hosts} - known)

    async def _check(self) -> None:
        is_alone = self._directory.count_members() == 1
        lists = await self._registry.list_contacts(may_be_outdated=not is_alone)
        silent = set(self._list_unknown_hosts(self._lists))
        unknown = set(self._list_unknown_hosts(lists))
        self._lists = lists
        self._contact_rounds = 0
        if unknown - silent:
            self._events.write("contacts_found", self._clock.now_ms(), hosts=sorted(unknown))
        self._contact_unknown()
        own = next(
            (found for found in lists if found.data_centre == self._member.data_centre), None
        )
        if own is not None and self._is_current(own):
            if is_alone and not unknown:
                self._directory.confirm_alone(self._clock.now_ms())
            self._schedule_check(is_alone)
        elif own is not None and not silent.issuperset(self._list_unknown_hosts((own,))):
            # They may be a group that this instance does not know yet.
            self._check_due_ms = self._clock.now_ms() + CONTACT_ROUNDS * ROUND_INTERVAL_MS
        else:
            is_written = await self._write_contacts(own)
            self._schedule_check(is_alone or not is_written)

    def _is_current(self, own: ContactList) -> bool:
        """Whether the list of the own data centre holds members only, and enough of them.

        Other feeders than listed ones are no reason for a write, because feeders change often.
        """
        members = {peer.host for peer in self._directory.list_local_peers()} | {self._member.host}
        wanted_count = min(CONTACTS_PER_DATA_CENTRE, len(members))
        return members.issuperset(own.hosts) and len(own.hosts) >= wanted_count

    async def _write_contacts(self, own: ContactList | None) -> bool:
        """Writes the feeders as contacts; returns False if another writer came first."""
        hosts = self._directory.list_feeder_hosts()[:CONTACTS_PER_DATA_CENTRE]
        is_written = await self._registry.put_contacts(self._member.data_centre, hosts, own)
        self._events.write(
            "contacts_written", self._clock.now_ms(), hosts=hosts, is_written=is_written
        )
        return is_written

    def _schedule_check(self, is_soon: bool) -> None:
        """Schedules the next check in GROUP_CHECK_INTERVAL_MS or, with back-off, sooner."""
        now_ms = self._clock.now_ms()
        if is_soon:
            self._check_due_ms = now_ms + self._interval_ms
            self._interval_ms = min(CHECK_INTERVAL_MAX_MS, 2 * self._interval_ms)
        else:
            self._check_due_ms = now_ms + GROUP_CHECK_INTERVAL_MS
            self._interval_ms = CHECK_INTERVAL_MIN_MS
