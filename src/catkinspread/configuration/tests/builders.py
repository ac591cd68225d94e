"""Builders of entry chains and replicas for the tests of this subpackage."""

import random

from catkinspread.configuration import (
    Change,
    ChangeEntry,
    ConfigurationReplica,
    DataCentreSet,
    SendConfiguration,
    encode_entry,
    hash_payload,
    make_entry_record,
)
from catkinspread.model import DataCentre
from catkinspread.objectstore import LogEntry


def make_effects(number):
    return (DataCentreSet(DataCentre(f"dc-{number}", "khomas")),)


def make_change(number, change_id=None, actor="operator"):
    return Change(change_id or f"c{number}", actor, f"command {number}", "", make_effects(number))


def make_chain(count, seed=0, first_version=0, previous_hash=0):
    """Returns the records of a valid hash chain; another seed gives another chain."""
    records = []
    for index in range(first_version + 1, first_version + count + 1):
        entry = ChangeEntry(
            f"{seed}-{index}", "operator", "", "", index, previous_hash, make_effects(index)
        )
        payload = encode_entry(entry)
        previous_hash = hash_payload(payload)
        records.append(make_entry_record(index, payload))
    return records


def make_log_entries(records):
    return [LogEntry(record.index, f"c{record.index}", record.payload) for record in records]


def make_replica(name="a", peers=("b", "c", "d", "e"), is_started=True):
    replica = ConfigurationReplica(name, random.Random(1), 0)
    replica.set_peers(peers)
    if is_started:
        replica.start_empty(0)
    return replica


def filter_sent(actions, kind):
    sent = [action for action in actions if isinstance(action, SendConfiguration)]
    return [action for action in sent if isinstance(action.message, kind)]


def exchange(replicas, actions, now_ms):
    """Delivers messages between replicas until none remains; returns the other actions."""
    others = []
    queue = list(actions)
    while queue:
        action = queue.pop(0)
        if isinstance(action, SendConfiguration):
            if action.member in replicas:
                queue.extend(replicas[action.member].handle(action.message, now_ms))
        else:
            others.append(action)
    return others
