"""Reloading of the settings file while the program runs."""

from collections.abc import Callable

import msgspec

from catkinspread.clock import Clock
from catkinspread.eventlog import EventLog
from catkinspread.ini import SettingsError
from catkinspread.peers import PeerExchange
from catkinspread.runtime.settings import ForwardingSettings


class SettingsReloader:
    """Reloads the settings; seeds take effect at once, all others at the next start.

    Args:
        settings: Settings with which the instance was started.
        read_settings: Reads the settings file.
        exchange: Receives the seeds.
        events: Log of reloads.
        clock: Source of the time.
    """

    __slots__ = ("_clock", "_events", "_exchange", "_read_settings", "_settings")

    def __init__(
        self,
        settings: ForwardingSettings,
        read_settings: Callable[[], ForwardingSettings],
        exchange: PeerExchange,
        events: EventLog,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._read_settings = read_settings
        self._exchange = exchange
        self._events = events
        self._clock = clock

    def reload_if_changed(self) -> None:
        """Reloads settings that changed while the program was starting and ignored SIGHUP."""
        try:
            is_changed = self._read_settings() != self._settings
        except SettingsError:
            is_changed = True  # Let `reload` log the error.
        if is_changed:
            self.reload()

    def reload(self) -> None:
        """Reads the settings file; an invalid file changes nothing and is logged."""
        now_ms = self._clock.now_ms()
        try:
            settings = self._read_settings()
        except SettingsError as error:
            self._events.write_always("reload_failed", now_ms, reason=str(error))
            return
        self._exchange.replace_seeds(tuple(seed.host for seed in settings.seeds))
        # The comparison below covers the settings that need a restart.
        settings_except_seeds = msgspec.structs.replace(settings, seeds=self._settings.seeds)
        self._events.write_always(
            "reloaded",
            now_ms,
            needs_restart=settings_except_seeds != self._settings,
            seeds=len(settings.seeds),
        )
