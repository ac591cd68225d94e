"""Tests of the audit trail, the log of refusals, the settings of tokens and the replies."""

import configparser

import pytest

from catkinspread.clock import ManualClock
from catkinspread.configuration import CONFIGURATION_LOG_PREFIX
from catkinspread.objectstore import MemoryObjectStore, OutcomeUnknown, StoreUnavailable
from catkinspread.operations import (
    Grant,
    LogDamaged,
    Refusal,
    RefusalLog,
    hash_token,
    read_access_list,
    render_error,
    render_error_json,
    render_json,
    render_table,
    verify_chain,
)
from catkinspread.operations import refusals as refusals_module
from catkinspread.operations.refusals import PENDING_MAX, PENDING_UNAUTHORISED_MAX
from catkinspread.operations.tests.fakes import (
    SETUP,
    START_MS,
    STATEMENTS,
    SilentStore,
    build_configured,
    refuse,
    run,
    state_all,
)


@pytest.mark.parametrize(
    ("change", "part"),
    [
        ({}, ""),
        ({"sha256": "ab"}, "[token ann] sha256 is not 64"),
        ({"sha256": "g" * 64}, "[token ann] sha256 is not 64"),
        ({"team": ""}, "[token ann] team is missing"),
        ({"roles": "operator root"}, "[token ann] roles has other roles"),
        ({"sha256": hash_token("two")}, "has the token of"),
    ],
)
def test_tokens_of_the_settings_are_read_or_refused_as_a_whole(change, part):
    """Guards against a slip in the settings that gives or takes rights silently."""
    parser = configparser.ConfigParser()
    ann = {"sha256": hash_token("one"), "team": "midland", "roles": "operator", **change}
    bob = {"sha256": hash_token("two"), "team": "rival"}
    parser.read_dict({"instance": {}, "token bob": bob, "token ann": ann})
    result = read_access_list(parser)
    if part:
        assert part in result.error.message
        return
    assert result.ok.find_grant("one") == Grant("ann", "midland", frozenset({"operator"}))
    assert result.ok.find_grant("two") == Grant("bob", "rival")
    assert result.ok.find_grant(hash_token("one")) is None


def test_changed_removed_or_missing_entry_is_noticed():
    """Guards against an audit trail that can be edited unseen."""

    async def scenario(clock: ManualClock) -> None:
        store, service = await build_configured(clock)
        end = len(SETUP)
        assert "15 entries are complete" in (await state_all(service, "verify changes")).notes[0]
        keys = [item.key for item in await store.scan(f"{CONFIGURATION_LOG_PREFIX}/")]
        original = await store.get(keys[4])
        forged = original.value.replace(b"ann", b"bob")
        await store.update(keys[4], forged, 1)
        assert (await verify_chain(store, end)).checked == 5
        assert isinstance(await refuse(service, "verify changes"), LogDamaged)
        await store.delete(keys[4], 2)
        assert "entry 5 is missing but entry 15" in (await verify_chain(store, end)).fault
        await store.create(keys[4], original.value)
        assert (await verify_chain(store, end)).fault == ""
        await store.delete(keys[-1], 1)
        assert "version 15 was applied" in (await verify_chain(store, end)).fault

    run(scenario)


def test_changes_are_found_by_object_actor_and_version():
    """Guards against demands for proof that the audit trail cannot answer."""

    async def scenario(clock: ManualClock) -> None:
        _, service = await build_configured(clock)
        await state_all(service, 'drain upstream c1 because "cold"', token="token-bob")
        for text in (
            "show changes by bob",
            "show changes of upstream c1 since version 14",
            "show changes since version 15",
        ):
            (row,) = (await state_all(service, text)).rows
            assert row[0] == 16
            assert row[2:5] == ("bob", 'drain upstream c1 because "cold"', "cold")
        assert len((await state_all(service, "show changes of data-centre brum")).rows) == 1
        assert len((await state_all(service, "show changes of service templates")).rows) == 4

    run(scenario)


def test_refusals_are_written_once_in_batches_after_faults(monkeypatch):
    """Guards against refusals that are lost, doubled or written one by one."""
    monkeypatch.setattr(refusals_module, "BATCH_MAX_BYTES", 400)

    async def scenario(clock: ManualClock) -> None:
        store = SilentStore()
        first, second = RefusalLog(store), RefusalLog(store)
        for number in range(20):
            first.add(Refusal(START_MS, "ann", f"drain upstream a{number}", "no"))
            second.add(Refusal(START_MS, "bob", f"drain upstream b{number}", "no"))
        store.faults.lost_answers = 1
        for error in (OutcomeUnknown, StoreUnavailable, StoreUnavailable):
            with pytest.raises(error):
                await first.flush()
        store.faults.is_down = False
        is_done = False
        while not is_done:
            is_done = await first.flush() & await second.flush()
        found = [item.command for item in await RefusalLog(store).read_latest(1_000)]
        expected = [f"drain upstream {name}{n}" for name in "ab" for n in range(20)]
        assert sorted(found) == sorted(expected)
        assert 4 <= len(await store.scan("configuration/refusals/")) <= 8

    run(scenario)


def test_refusals_stay_bounded_and_strangers_do_not_displace_operators():
    """Guards against a flood of refused commands that fills the memory or hides others."""

    async def scenario(clock: ManualClock) -> None:
        refusals = RefusalLog(MemoryObjectStore())
        for _ in range(PENDING_MAX + 500):
            refusals.add(Refusal(START_MS, "", "x" * 4_096, "\ud800"))
        assert refusals.pending_count == PENDING_UNAUTHORISED_MAX
        for _ in range(PENDING_MAX + 500):
            refusals.add(Refusal(START_MS, "ann", "x" * 4_096, "y" * 4_096))
        assert refusals.pending_count == PENDING_MAX + PENDING_UNAUTHORISED_MAX
        while not await refusals.flush():
            pass
        found = await refusals.read_latest(1_000)
        assert sum(item.actor == "ann" for item in found) == PENDING_MAX

    run(scenario)


def test_replies_render_as_table_and_json(snapshot):
    """Guards against unnoticed changes of what operators and their scripts read."""

    async def scenario(clock: ManualClock) -> None:
        _, service = await build_configured(clock)
        rendered = []
        for text in STATEMENTS:
            reply = await state_all(service, text)
            rendered += [f"> {text}\n{render_table(reply)}", render_json(reply)]
        error = await refuse(service, "drain upstream d1")
        rendered += [render_error(error), render_error_json(error)]
        assert "\n".join(rendered) == snapshot

    run(scenario)
