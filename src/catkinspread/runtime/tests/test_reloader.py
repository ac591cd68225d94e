"""Settings that change while the program runs."""

import json

import msgspec

from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog
from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.ini import SettingsError, parse_text
from catkinspread.model import Endpoint
from catkinspread.runtime import ForwardingSettings
from catkinspread.runtime.reloader import SettingsReloader
from catkinspread.runtime.settings import build_forwarding_settings
from catkinspread.runtime.tests.test_settings import VALID

RUNNING = build_forwarding_settings("x.ini", parse_text("x.ini", VALID))


class Seeds:
    """Stands in for the exchange."""

    def __init__(self) -> None:
        self.hosts: tuple[str, ...] = ()

    def replace_seeds(self, hosts: tuple[str, ...]) -> None:
        """Keeps the seeds."""
        self.hosts = hosts


def _reload(
    found: ForwardingSettings | SettingsError, is_missed: bool = False
) -> tuple[Seeds, list[dict[str, object]]]:
    def read() -> ForwardingSettings:
        if isinstance(found, SettingsError):
            raise found
        return found

    seeds, lines, clock = Seeds(), LineRecorder(), ManualClock(1_000)
    reloader = SettingsReloader(RUNNING, read, seeds, EventLog("one", lines, clock), clock)
    if is_missed:
        reloader.take_missed()
    else:
        reloader.reload()
    return seeds, [json.loads(line) for line in lines.lines]


def test_seeds_change_at_once() -> None:
    """Guards against an instance that must restart to hear of new seeds."""
    changed = msgspec.structs.replace(RUNNING, seeds=(Endpoint("10.9.0.1", 8166),))
    seeds, lines = _reload(changed)
    assert seeds.hosts == ("10.9.0.1",)
    assert lines[0]["event"] == "reloaded"
    assert lines[0]["needs_restart"] is False


def test_other_changes_ask_for_a_restart() -> None:
    """Guards against a change that silently has no effect."""
    _, lines = _reload(msgspec.structs.replace(RUNNING, grace_ms=1))
    assert lines[0]["needs_restart"] is True


def test_invalid_settings_change_nothing() -> None:
    """Guards against an instance that ends, or forgets its seeds, for a broken file."""
    seeds, lines = _reload(SettingsError("[peers] seeds = ?"))
    assert seeds.hosts == ()
    assert lines[0]["event"] == "reload_failed"


def test_missed_change_is_taken_and_an_unchanged_file_is_not_logged() -> None:
    """Guards against a change whose signal came while the program was loaded."""
    assert _reload(RUNNING, is_missed=True)[1] == []
    changed = msgspec.structs.replace(RUNNING, seeds=())
    assert _reload(changed, is_missed=True)[1][0]["event"] == "reloaded"
