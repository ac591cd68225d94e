"""Membership view of an instance: failure detection, dissemination, joining and leaving.

Failure detection follows SWIM (Das, Gupta, Motivala 2002). Every heartbeat is answered. A
missing reply leads to a second direct probe and to indirect probes through other members, then
to a suspicion that the suspect can refute, and finally to its death. The load of an instance
does not depend on the number of instances.
"""

import random
from collections.abc import Iterable

from catkinspread.membership.actions import (
    MembershipAction,
    NewerVersionReported,
    SendMessage,
)
from catkinspread.membership.dissemination import DisseminationQueue
from catkinspread.membership.heartbeats import HeartbeatBuilder
from catkinspread.membership.joining import Joiner, make_page
from catkinspread.membership.merging import RecordMerger
from catkinspread.membership.messages import (
    Heartbeat,
    JoinRequest,
    MemberRecord,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    ProbeAnswer,
    ProbeRequest,
    SyncReply,
    SyncRequest,
    ViewPage,
    ViewRequest,
    measure_encoded_bytes,
)
from catkinspread.membership.probes import ProbeTracker
from catkinspread.membership.queries import MembershipQueries
from catkinspread.membership.settings import MembershipSettings
from catkinspread.membership.table import Member, MemberTable
from catkinspread.model import Endpoint

# Peers that a leaving instance tells directly; gossip informs the others.
_LEAVE_FAN_OUT = 5
# Peers probed immediately after a pause of this instance.
_RESUME_FAN_OUT = 3


class MembershipView(MembershipQueries):
    """Keeps the states of the members and decides which messages to send.

    All times are ms since the Unix epoch from one clock that never goes back; see `SystemClock`.

    Args:
        record: Record of this instance; the incarnation is its start time in ms since the epoch.
        rng: Random number generator for all random choices.
        now_ms: Start time of the instance.
        settings: Periods and limits.
    """

    __slots__ = (
        "_dissemination",
        "_due_ms",
        "_heartbeat_builder",
        "_joiner",
        "_last_call_ms",
        "_merger",
        "_peers",
        "_peers_change_count",
        "_probes",
        "_resume_sequence",
        "_rng",
        "_settings",
        "_urgent_tokens_full_ms",
    )

    def __init__(
        self,
        record: MemberRecord,
        rng: random.Random,
        now_ms: int,
        settings: MembershipSettings | None = None,
    ) -> None:
        super().__init__(MemberTable(), record.member)
        self._table.insert_or_replace(record, now_ms)
        self._settings = settings or MembershipSettings()
        self._rng = rng
        self._dissemination = DisseminationQueue()
        self._joiner = Joiner()
        self._probes = ProbeTracker()
        self._heartbeat_builder = HeartbeatBuilder(
            record.member, self._table, self._dissemination, self._settings.heartbeat_max_bytes
        )
        self._merger = RecordMerger(
            record.member, self._table, self._dissemination, self._probes, self._settings
        )
        self._merger.queue_state(record.member)
        self._resume_sequence = 0
        self._urgent_tokens_full_ms = now_ms
        self._last_call_ms = now_ms
        self._peers: tuple[list[str], list[str]] = ([], [])
        self._peers_change_count = -1
        jitter = rng.random()
        self._due_ms = {
            "local": now_ms + int(jitter * self._settings.local_period_ms),
            "remote": now_ms + int(jitter * self._settings.remote_period_ms),
            "dead": now_ms + self._settings.dead_probe_period_ms,
            "sync": now_ms + self._settings.sync_period_ms,
            "join": now_ms,
        }

    @property
    def is_joined(self) -> bool:
        """Whether the instance has received the complete view of a peer since its start."""
        return self._joiner.is_joined

    def add_seeds(self, endpoints: Iterable[Endpoint]) -> None:
        """Adds endpoints for join requests, from the settings or the deployment platform's list.

        The platform's list may be out of date and include stopped instances, so a seed does not
        count as a live member.
        """
        self._joiner.add_seeds(endpoints, self.own.endpoint)

    def merge_view(self, records: Iterable[MemberRecord], now_ms: int) -> None:
        """Merges a complete view and marks this instance as joined.

        Returns no actions and queues nothing for dissemination; the caller must read the members
        afterwards.
        """
        self._merger.merge_records(records, now_ms, [], should_disseminate=False)
        self._joiner.is_joined = True

    def set_configuration_version(self, version: int) -> None:
        """Sets the configuration version that this instance reports."""
        if version > self.own.version:
            self._table.record_version(self.own.member, version)
            self._merger.has_urgent_updates = True

    def record_platform_contact(self, started_at_ms: int) -> None:
        """Ends staleness after a successful request to the deployment platform.

        The platform stores the configuration log, and the request is a read of this log.

        Args:
            started_at_ms: When the request began; one that began before the pause is ignored.
        """
        if started_at_ms >= self._stale_since_ms:
            self._is_stale = False

    def renew_incarnation(self, now_ms: int) -> list[MembershipAction]:
        """Rejoins as a new incarnation, as after being declared dead.

        Call this after a pause in which the slots of this instance may have been reassigned.
        """
        return self._merger.set_own_incarnation(max(now_ms, self.own.incarnation + 1), 0, now_ms)

    def leave(self, now_ms: int) -> list[MembershipAction]:
        """Announces that this instance leaves.

        Call this once, and do not call `tick` afterwards.
        """
        own = self.own
        self._table.set_state(
            MemberUpdate(own.member, own.incarnation, own.refutation, MemberState.LEFT), now_ms
        )
        peers = [member for member in self._table.list_live() if member != own.member]
        chosen = self._rng.sample(peers, min(_LEAVE_FAN_OUT, len(peers)))
        return [self._heartbeat_builder.build(self._table.find(peer), now_ms) for peer in chosen]

    def tick(self, now_ms: int) -> list[MembershipAction]:
        """Runs the tasks that are due and returns the resulting actions.

        Call this about every 100 ms.
        """
        actions: list[MembershipAction] = []
        self._detect_pause(now_ms, actions)
        if self._joiner.needs_request(self._table.count_live()):
            self._tick_join(now_ms, actions)
        self._tick_probes(now_ms, actions)
        self._merger.expire_suspicions(now_ms, actions)
        self._tick_heartbeats(now_ms, actions)
        self._send_urgent_heartbeats(now_ms, actions)
        self._table.remove_ended_before(now_ms - self._settings.forget_after_ms)
        return actions

    def handle(self, message: MembershipMessage, now_ms: int) -> list[MembershipAction]:
        """Handles a message from another instance and returns the resulting actions."""
        actions: list[MembershipAction] = []
        self._detect_pause(now_ms, actions)
        match message:
            case Heartbeat():
                self._handle_heartbeat(message, now_ms, actions)
            case ProbeRequest(sender, target, sequence):
                self._handle_probe_request(sender, target, sequence, now_ms, actions)
            case ProbeAnswer(_, target, _):
                self._probes.finish(target)
            case JoinRequest(record):
                self._merger.merge_record(record, now_ms, actions)
                self._send_view_page(record.member, record.endpoint, "", now_ms, actions)
            case ViewRequest(sender, after):
                known = self._table.find(sender)
                if known is not None:
                    self._send_view_page(sender, known.endpoint, after, now_ms, actions)
            case ViewPage():
                self._merger.merge_records(
                    message.records, now_ms, actions, should_disseminate=False
                )
                self._joiner.handle_page(message)
                version = max((record.version for record in message.records), default=0)
                if version > self.own.version:
                    actions.append(NewerVersionReported(message.sender, version))
                self._due_ms["join"] = now_ms
                self._end_staleness(message.sender)
                if not self._joiner.is_joined:
                    self._tick_join(now_ms, actions)
            case SyncRequest():
                self._handle_sync_request(message, now_ms, actions)
            case SyncReply():
                self._handle_sync_reply(message, now_ms, actions)
        self._send_urgent_heartbeats(now_ms, actions)
        return actions

    # Pauses

    def _detect_pause(self, now_ms: int, actions: list[MembershipAction]) -> None:
        gap_ms = now_ms - self._last_call_ms
        self._last_call_ms = now_ms
        if gap_ms <= self._settings.stale_after_ms:
            return
        self._is_stale = True
        self._stale_since_ms = now_ms
        # Replies that arrived during the pause are still unread, so timeouts of pending probes do
        # not indicate a failure.
        self._probes.clear()
        self._resume_sequence = self._heartbeat_builder.sequence + 1
        self._merger.restart_suspicion_timers(now_ms)
        local, remote = self._list_peers()
        peers = local + remote
        for peer in self._rng.sample(peers, min(_RESUME_FAN_OUT, len(peers))):
            self._send_probe(peer, now_ms, actions)

    def _end_staleness(self, sender: str, sequence: int | None = None) -> None:
        # A reply to a heartbeat sent before the pause may itself have been sent before the pause.
        if self._is_stale and (sequence is None or sequence >= self._resume_sequence):
            self._is_stale = False

    # Joining

    def _tick_join(self, now_ms: int, actions: list[MembershipAction]) -> None:
        if now_ms < self._due_ms["join"]:
            return
        self._due_ms["join"] = now_ms + self._settings.join_period_ms
        local, remote = self._list_peers()
        peers = [self._table.find(peer) for peer in local + remote]
        record = self.own.make_record(now_ms)
        actions.extend(self._joiner.make_requests(record, peers, self._rng))

    def _send_view_page(
        self,
        receiver: str,
        endpoint: Endpoint,
        after: str,
        now_ms: int,
        actions: list[MembershipAction],
    ) -> None:
        records = (known.make_record(now_ms) for known in self._table.list_members())
        page = make_page(self.own.member, records, after, self._settings.page_max_bytes)
        actions.append(SendMessage(receiver, endpoint, page))

    # Heartbeats and probes

    def _list_peers(self) -> tuple[list[str], list[str]]:
        live_ids = self._table.list_live()
        if self._peers_change_count != self._table.change_count:
            self._peers_change_count = self._table.change_count
            own = self.own
            others = [self._table.find(member) for member in live_ids if member != own.member]
            self._peers = (
                [peer.member for peer in others if peer.data_centre == own.data_centre],
                [peer.member for peer in others if peer.data_centre != own.data_centre],
            )
        return self._peers

    def _tick_heartbeats(self, now_ms: int, actions: list[MembershipAction]) -> None:
        local, remote = self._list_peers()
        if self._advance_if_due("local", self._settings.local_period_ms, now_ms) and local:
            self._send_probe(self._rng.choice(local), now_ms, actions)
        if self._advance_if_due("remote", self._settings.remote_period_ms, now_ms) and remote:
            self._send_probe(self._rng.choice(remote), now_ms, actions)
        if self._advance_if_due("dead", self._settings.dead_probe_period_ms, now_ms):
            self._probe_dead(now_ms, actions)

    def _send_urgent_heartbeats(self, now_ms: int, actions: list[MembershipAction]) -> None:
        if not self._merger.has_urgent_updates:
            return
        self._merger.has_urgent_updates = False
        # Token bucket, represented by the time at which it will be full again.
        refill_ms = self._settings.urgent_refill_ms
        full_ms = max(self._urgent_tokens_full_ms, now_ms) + refill_ms
        if full_ms > now_ms + refill_ms * self._settings.urgent_burst:
            return
        self._urgent_tokens_full_ms = full_ms
        local, remote = self._list_peers()
        peers = local + remote
        for peer in self._rng.sample(peers, min(self._settings.urgent_fan_out, len(peers))):
            actions.append(self._heartbeat_builder.build(self._table.find(peer), now_ms))

    def _advance_if_due(self, name: str, period_ms: int, now_ms: int) -> bool:
        if now_ms < self._due_ms[name]:
            return False
        # Counts from the previous due time, so that delays do not add up. After a long gap, at
        # most two missed runs are made up for.
        self._due_ms[name] = max(self._due_ms[name] + period_ms, now_ms - period_ms)
        return True

    def _probe_dead(self, now_ms: int, actions: list[MembershipAction]) -> None:
        known = self._table.list_members()
        dead = [member for member in known if member.state is MemberState.DEAD]
        if dead:
            actions.append(self._heartbeat_builder.build(self._rng.choice(dead), now_ms))

    def _send_probe(self, target: str, now_ms: int, actions: list[MembershipAction]) -> None:
        member = self._table.find(target)
        actions.append(self._heartbeat_builder.build(member, now_ms))
        self._probes.start(
            target, self._heartbeat_builder.sequence, now_ms + self._settings.first_probe_timeout_ms
        )

    def _handle_heartbeat(
        self, message: Heartbeat, now_ms: int, actions: list[MembershipAction]
    ) -> None:
        self._merger.merge_records(message.records, now_ms, actions)
        sender_state = MemberUpdate(
            message.sender, message.incarnation, message.refutation, message.state
        )
        for update in (*message.updates, sender_state):
            self._merger.merge_update(update, now_ms, actions)
        self._merger.merge_deaths(message.deaths, now_ms, actions)
        sender = self._table.find(message.sender)
        if sender is None:
            return
        if sender.incarnation == message.incarnation:
            self._table.record_version(message.sender, message.version)
            self._heartbeat_builder.merge_reports(message)
        if message.version > self.own.version:
            actions.append(NewerVersionReported(message.sender, message.version))
        if message.is_reply:
            self._end_staleness(message.sender, message.sequence)
            for requester, sequence in self._probes.finish(message.sender):
                self._send_to(
                    requester, ProbeAnswer(self.own.member, message.sender, sequence), actions
                )
        elif MemberState.LEFT not in (self.own.state, sender.state):
            actions.append(self._heartbeat_builder.build(sender, now_ms, message.sequence))
        self._request_sync(sender, message.digest, now_ms, actions)

    def _handle_probe_request(
        self,
        sender: str,
        target: str,
        sequence: int,
        now_ms: int,
        actions: list[MembershipAction],
    ) -> None:
        if self._table.find(target) is None or target == self.own.member:
            return
        actions.append(self._heartbeat_builder.build(self._table.find(target), now_ms))
        deadline_ms = now_ms + self._settings.second_probe_timeout_ms
        self._probes.add_requester(target, sender, sequence, deadline_ms)

    def _tick_probes(self, now_ms: int, actions: list[MembershipAction]) -> None:
        retries, failed = self._probes.process_timeouts(
            now_ms, self._settings.second_probe_timeout_ms
        )
        for target, sequence in retries:
            member = self._table.find(target)
            if member is None or not member.is_live:
                self._probes.finish(target)
                continue
            actions.append(self._heartbeat_builder.build(member, now_ms))
            local, remote = self._list_peers()
            helpers = [peer for peer in local + remote if peer != target]
            count = min(self._settings.indirect_probes, len(helpers))
            for helper in self._rng.sample(helpers, count):
                self._send_to(helper, ProbeRequest(self.own.member, target, sequence), actions)
        for target in failed:
            self._merger.suspect(target, now_ms, actions)
            # This heartbeat tells the suspect of the suspicion, so that it can refute immediately.
            if self._table.find(target) is not None:
                actions.append(self._heartbeat_builder.build(self._table.find(target), now_ms))

    def _send_to(
        self, receiver: str, message: MembershipMessage, actions: list[MembershipAction]
    ) -> None:
        member = self._table.find(receiver)
        if member is not None:
            actions.append(SendMessage(receiver, member.endpoint, message))

    # Synchronisation of differing views

    def _request_sync(
        self, sender: Member, digest: int, now_ms: int, actions: list[MembershipAction]
    ) -> None:
        if digest == self._table.get_digest() or now_ms < self._due_ms["sync"]:
            return
        self._due_ms["sync"] = now_ms + self._settings.sync_period_ms
        request = SyncRequest(self.own.member, self._table.encode_bucket_digests())
        actions.append(SendMessage(sender.member, sender.endpoint, request))

    def _handle_sync_request(
        self, message: SyncRequest, now_ms: int, actions: list[MembershipAction]
    ) -> None:
        differing = self._table.list_members_of_differing_buckets(message.digests)
        self._rng.shuffle(differing)
        remaining_bytes = self._settings.page_max_bytes
        records: list[MemberRecord] = []
        for member in differing:
            record = member.make_record(now_ms)
            remaining_bytes -= measure_encoded_bytes(record)
            if remaining_bytes < 0:
                break
            records.append(record)
        self._send_to(message.sender, SyncReply(self.own.member, tuple(records)), actions)

    def _handle_sync_reply(
        self, message: SyncReply, now_ms: int, actions: list[MembershipAction]
    ) -> None:
        for record in message.records:
            known = self._table.find(record.member)
            if known is not None and known.is_newer_than(record):
                # The sender has an older state, so others may have missed the change as well.
                self._merger.queue_state(record.member)
        self._merger.merge_records(message.records, now_ms, actions, should_disseminate=False)
