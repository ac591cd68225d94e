"""Takes over settings that changed while the program runs."""

from collections.abc import Callable

import msgspec

from catkinspread.clock import Clock
from catkinspread.eventlog import EventLog
from catkinspread.ini import SettingsError
from catkinspread.peers import PeerExchange
from catkinspread.runtime.settings import ForwardingSettings


class SettingsReloader:
    """Reads the settings again; seeds change at once, all else with the next start.

    Args:
        settings: Settings that the instance runs with.
        read_settings: Reads the settings file again.
        exchange: Takes the seeds.
        events: Takes a line for each reload.
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

    def take_missed(self) -> None:
        """Reloads if the settings changed while the program was loaded and ignored the signal."""
        try:
            is_changed = self._read_settings() != self._settings
        except SettingsError:
            is_changed = True  # `reload` says what is wrong.
        if is_changed:
            self.reload()

    def reload(self) -> None:
        """Reads the file; one that is not valid changes nothing and is logged."""
        now_ms = self._clock.now_ms()
        try:
            settings = self._read_settings()
        except SettingsError as error:
            self._events.write_always("reload_failed", now_ms, reason=str(error))
            return
        self._exchange.replace_seeds(tuple(seed.host for seed in settings.seeds))
        fixed = msgspec.structs.replace(settings, seeds=self._settings.seeds)
        self._events.write_always(
            "reloaded", now_ms, needs_restart=fixed != self._settings, seeds=len(settings.seeds)
        )
