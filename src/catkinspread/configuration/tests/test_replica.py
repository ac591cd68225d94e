"""Tests of the configuration replica."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.configuration import (
    ChainBroken,
    ConfigurationMessageError,
    EntryRefused,
    ReadLog,
    ReadSnapshot,
    SendConfiguration,
    VersionApplied,
    WriteSnapshot,
    choose_watchers,
    decode_configuration_message,
    encode_configuration_message,
    make_entry_record,
)
from catkinspread.configuration.effects import decode_entry
from catkinspread.configuration.messages import (
    Entries,
    EntriesRequest,
    SnapshotPart,
    SnapshotRequest,
    VersionNotice,
)
from catkinspread.configuration.replica import PUSH_FAN_OUT
from catkinspread.configuration.tail import TAIL_MAX_ENTRIES
from catkinspread.configuration.tests.builders import (
    exchange,
    filter_sent,
    make_chain,
    make_log_entries,
    make_replica,
)
from catkinspread.configuration.tests.reference_apply import apply_entry_reference
from catkinspread.model import Configuration


def push(replica, records, sender="b", now_ms=0):
    version = max(record.index for record in records)
    return replica.handle(Entries(sender, version, tuple(records)), now_ms)


def test_new_version_is_pushed_to_three_peers():
    """Guards against a version that does not spread beyond the watchers of the log."""
    replica = make_replica()
    actions = replica.handle_log(make_log_entries(make_chain(1)), 0)
    assert VersionApplied(1) in actions
    assert len(filter_sent(actions, Entries)) == PUSH_FAN_OUT


def test_large_entry_is_announced_and_pulled_once():
    """Guards against large entries, such as routing exceptions, that reach a peer repeatedly."""
    chain = make_chain(1)
    replicas = {name: make_replica(name, [n for n in "abcd" if n != name]) for name in "abcd"}
    entry = msgspec.structs.replace(decode_entry(chain[0].payload), command="x" * 20_000)
    record = make_entry_record(1, msgspec.msgpack.encode(entry))
    actions = replicas["a"].handle_log(make_log_entries([record]), 0)
    assert filter_sent(actions, Entries) == []
    assert len(filter_sent(actions, VersionNotice)) == 3
    exchange(replicas, actions, 0)
    assert {replica.version for replica in replicas.values()} == {1}


def test_gap_is_requested_from_a_peer_and_then_from_the_log():
    """Guards against a skipped entry, and a gap that persists after a lost reply."""
    replica = make_replica()
    chain = make_chain(5)
    actions = push(replica, [chain[4]])
    assert replica.version == 0
    (request,) = filter_sent(actions, EntriesRequest)
    assert (request.member, request.message.after) == ("b", 0)
    assert replica.tick(500) == []
    actions = replica.tick(1_000)
    assert ReadLog(0) in actions
    actions = replica.handle_log(make_log_entries(chain[:4]), 1_010)
    assert replica.version == 5
    assert replica.tick(5_000) == []


def test_heartbeat_with_a_higher_version_triggers_a_pull():
    """Guards against a permanent lag after the loss of all pushes to an instance."""
    behind, ahead = make_replica("a", ["b"]), make_replica("b", [])
    push(ahead, make_chain(3), "x")
    exchange({"a": behind, "b": ahead}, behind.handle_peer_version("b", 3, 0), 0)
    assert behind.version == 3
    assert behind.configuration == ahead.configuration


def test_corrupt_entries_and_entries_of_another_chain_are_rejected():
    """Guards against applying an entry that was corrupted in transit or is of a different chain."""
    replica = make_replica()
    chain, other_chain = make_chain(3), make_chain(3, seed=7)
    push(replica, chain[:1])
    corrupt = msgspec.structs.replace(chain[1], payload=chain[1].payload.replace(b"dc-2", b"dc-9"))
    malformed = make_entry_record(2, b"\x93\x01")
    for record in (corrupt, malformed, other_chain[1]):
        actions = push(replica, [record])
        assert [type(a) for a in actions][:2] == [EntryRefused, ReadLog]
        assert not any(isinstance(action, VersionApplied) for action in actions)
        assert replica.version == 1
    replica.handle_log(make_log_entries(chain[1:]), 0)
    assert replica.version == 3


def test_pending_entry_of_another_chain_does_not_count_as_divergence():
    """Guards against attributing an entry of a different chain to the log.

    A peer sends the entry before its predecessors are applied from the log.
    """
    replica = make_replica()
    chain, other_chain = make_chain(3), make_chain(3, seed=7)
    push(replica, [other_chain[2]])
    actions = replica.handle_log(make_log_entries(chain[:2]), 0)
    assert EntryRefused(3, "b", "previous hash does not match version 2") in actions
    assert not replica.has_diverged
    replica.handle_log(make_log_entries(chain[2:]), 0)
    assert replica.version == 3


@pytest.mark.parametrize("first_log_index", [1, 2])
def test_log_that_diverges_from_applied_entries_is_detected(first_log_index):
    """Guards against continuing from an entry of a different chain or past a removed one."""
    replica = make_replica()
    chain, other_chain = make_chain(3), make_chain(3, seed=7)
    push(replica, other_chain[:1])
    actions = replica.handle_log(make_log_entries(chain[first_log_index - 1 :]), 0)
    assert ChainBroken(first_log_index) in actions
    assert replica.has_diverged
    assert replica.handle(EntriesRequest("c", 0), 0) == []
    assert replica.version == 1


def test_start_during_a_platform_outage_loads_a_snapshot_from_a_peer():
    """Guards against an instance that cannot start during a platform outage."""
    peer = make_replica("b", [])
    chain = make_chain(TAIL_MAX_ENTRIES + 40)
    push(peer, chain, "x")
    replica = make_replica("a", ["b"], is_started=False)
    assert replica.tick(0) == [ReadSnapshot()]
    replica.handle_peer_version("b", peer.version, 10)
    assert replica.tick(500) == []
    actions = replica.tick(1_000)
    assert len(filter_sent(actions, SnapshotRequest)) == 1
    exchange({"a": replica, "b": peer}, actions, 1_000)
    assert replica.is_ready
    assert replica.configuration == peer.configuration
    push(replica, make_chain(1, 0, peer.version, peer.make_snapshot().head_hash))
    assert replica.version == peer.version + 1


def test_snapshot_of_several_parts_comes_from_one_peer(monkeypatch):
    """Guards against assembling a snapshot from parts of different snapshots."""
    monkeypatch.setattr("catkinspread.configuration.snapshot.SNAPSHOT_PART_BYTES", 50)
    peers = {name: make_replica(name, []) for name in "bc"}
    for peer in peers.values():
        push(peer, make_chain(40), "x")
    replica = make_replica("a", ["b", "c"], is_started=False)
    replica.tick(0)
    (request,) = filter_sent(replica.tick(1_000), SnapshotRequest)
    (answer,) = peers[request.member].handle(request.message, 1_000)
    assert answer.message.part_count > 2
    replica.handle(answer.message, 1_000)
    unrequested = SnapshotPart("z", 40, 1, answer.message.part_count, b"false")
    assert replica.handle(unrequested, 1_001) == []
    for now_ms in range(2_000, 10_000, 1_000):
        exchange({"a": replica, **peers}, replica.tick(now_ms), now_ms)
    assert replica.configuration == peers["b"].configuration


def test_restarted_instance_is_not_ready_below_a_known_version():
    """Guards against a return to an older version after a restart from a peer that lags behind."""
    replica = make_replica("a", ["b"], is_started=False)
    chain = make_chain(6)
    replica.handle_peer_version("c", 6, 0)
    behind = make_replica("b", [])
    push(behind, chain[:4], "x")
    replica.tick(0)
    exchange({"a": replica, "b": behind}, replica.tick(1_000), 1_000)
    assert (replica.version, replica.is_ready) == (4, False)
    push(replica, chain[4:5])
    assert (replica.version, replica.is_ready) == (5, False)
    push(replica, chain[5:])
    assert replica.is_ready
    older = behind.make_snapshot()
    assert replica.load_snapshot(older, 2_000) == []
    assert replica.version == 6


def test_replica_is_ready_only_after_the_log_was_read_to_its_end():
    """Guards against serving after only a part of the log was read."""
    replica = make_replica()
    chain = make_chain(4)
    assert not replica.is_ready
    assert ReadLog(2) in replica.handle_log(make_log_entries(chain[:2]), 0)
    assert not replica.is_ready
    replica.handle_log(make_log_entries(chain[2:]), 0)
    replica.handle_log([], 0)
    assert replica.is_ready


def test_peer_far_behind_reads_the_log_or_loads_a_snapshot():
    """Guards against a permanent lag of a peer that needs entries no longer retained."""
    ahead, behind = make_replica("b", []), make_replica("a", ["b"])
    push(ahead, make_chain(TAIL_MAX_ENTRIES + 10), "x")
    actions = exchange({"a": behind, "b": ahead}, behind.handle_peer_version("b", 522, 0), 0)
    assert ReadLog(0) in actions
    for now_ms in (1_000, 2_000, 3_000):
        exchange({"a": behind, "b": ahead}, behind.tick(now_ms), now_ms)
    assert behind.version == ahead.version


def test_one_member_saves_each_snapshot_and_the_next_one_retries():
    """Guards against every instance saving a snapshot, or none if the first one fails."""
    names = [f"i{number}" for number in range(9)]
    chain = make_chain(320)
    by_version = {}
    for name in names:
        replica = make_replica(name, names)
        for record in chain:
            for action in push(replica, [record]):
                if isinstance(action, WriteSnapshot):
                    by_version.setdefault(action.version, []).append(name)
    assert sorted(by_version) == [256, 288, 320]
    assert {len(writers) for writers in by_version.values()} == {1}
    assert len({writers[0] for writers in by_version.values()}) == 3


def test_two_members_of_each_data_centre_watch():
    """Guards against too many concurrent watches, and none after a watcher fails."""
    live = [f"i{number}" for number in range(80)]
    watchers = choose_watchers("khomas-1", live)
    assert len(watchers) == 2
    live.remove(watchers[0])
    assert choose_watchers("khomas-1", live)[0] == watchers[1]
    assert choose_watchers("khomas-1", ["i1"]) == ["i1"]


def test_malformed_frames_are_rejected():
    """Guards against a crash on malformed frames."""
    message = Entries("a", 3, tuple(make_chain(2)))
    frame = encode_configuration_message(message)
    assert decode_configuration_message(frame) == message
    for corrupt in (b"", b"\x07" + frame[1:], frame[:-2]):
        with pytest.raises(ConfigurationMessageError):
            decode_configuration_message(corrupt)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.data())
def test_any_order_of_delivery_matches_the_reference_implementation(data):
    """Guards against skipped, repeated or reordered entries under any order of delivery."""
    chain, other_chain = make_chain(12), make_chain(12, seed=7)
    expected = [Configuration()]
    for record in chain:
        entry = decode_entry(record.payload)
        expected.append(apply_entry_reference(expected[-1], record.index, entry))
    replica = make_replica()
    replica.handle_log(make_log_entries(chain[:1]), 0)
    versions = [replica.version]
    for _ in range(data.draw(st.integers(1, 40))):
        first = data.draw(st.integers(0, 11))
        length = data.draw(st.integers(1, 4))
        source = data.draw(st.sampled_from([chain, chain, chain, other_chain]))
        if source is chain and data.draw(st.booleans()):
            replica.handle_log(make_log_entries(chain[first : first + length]), 0)
        else:
            push(replica, data.draw(st.permutations(source[first : first + length])))
        assert replica.configuration == expected[replica.version]
        versions.append(replica.version)
    assert versions == sorted(versions)
    actions = replica.handle_peer_version("b", 12, 10_000) + replica.handle_log(
        make_log_entries(chain), 10_000
    )
    assert replica.configuration == expected[12]
    assert not any(isinstance(a, ChainBroken) for a in actions)
    assert all(isinstance(a.member, str) for a in actions if isinstance(a, SendConfiguration))
