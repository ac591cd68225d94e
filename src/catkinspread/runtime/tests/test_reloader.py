"""Tests of reloading the settings."""

import json

import msgspec

from catkinspread.clock import ManualClock
from catkinspread.eventlog import EventLog
from catkinspread.forwarding.tests.builders import LineRecorder
from catkinspread.ini import SettingsError, parse_ini
from catkinspread.model import Endpoint
from catkinspread.runtime import ForwardingSettings
from catkinspread.runtime.reloader import SettingsReloader
from catkinspread.runtime.settings import build_forwarding_settings
from catkinspread.runtime.tests.test_settings import VALID

RUNNING = build_forwarding_settings("x.ini", parse_ini("x.ini", VALID))


class StubExchange:
    """Replaces the exchange and records the seeds."""

    def __init__(self) -> None:
        self.hosts: tuple[str, ...] = ()

    def replace_seeds(self, hosts: tuple[str, ...]) -> None:
        """Records the seeds."""
        self.hosts = hosts


def _reload(
    result: ForwardingSettings | SettingsError, is_startup: bool = False
) -> tuple[StubExchange, list[dict[str, object]]]:
    def read() -> ForwardingSettings:
        if isinstance(result, SettingsError):
            raise result
        return result

    exchange, lines, clock = StubExchange(), LineRecorder(), ManualClock(1_000)
    reloader = SettingsReloader(RUNNING, read, exchange, EventLog("one", lines, clock), clock)
    if is_startup:
        reloader.reload_if_changed()
    else:
        reloader.reload()
    return exchange, [json.loads(line) for line in lines.lines]


def test_seeds_change_at_once() -> None:
    """Guards against an instance that needs a restart to use new seeds."""
    changed = msgspec.structs.replace(RUNNING, seeds=(Endpoint("10.9.0.1", 8166),))
    exchange, lines = _reload(changed)
    assert exchange.hosts == ("10.9.0.1",)
    assert lines[0]["event"] == "reloaded"
    assert lines[0]["needs_restart"] is False


def test_other_changes_need_a_restart() -> None:
    """Guards against a change that has no effect without any notice."""
    _, lines = _reload(msgspec.structs.replace(RUNNING, grace_ms=1))
    assert lines[0]["needs_restart"] is True


def test_invalid_settings_change_nothing() -> None:
    """Guards against an instance that stops or loses its seeds because of an invalid file."""
    exchange, lines = _reload(SettingsError("[peers] seeds = ?"))
    assert exchange.hosts == ()
    assert lines[0]["event"] == "reload_failed"


def test_change_during_startup_is_applied_and_an_unchanged_file_is_not_logged() -> None:
    """Guards against losing a change whose signal arrived while the program was starting."""
    assert _reload(RUNNING, is_startup=True)[1] == []
    changed = msgspec.structs.replace(RUNNING, seeds=())
    assert _reload(changed, is_startup=True)[1][0]["event"] == "reloaded"
