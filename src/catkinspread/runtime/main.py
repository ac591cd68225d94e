"""Entry point of a forwarding instance, with the settings file that the platform names.

The packet socket is opened before most modules are imported, so that packets that arrive in the
meantime are queued instead of lost; the imports take several tenths of a second on a slow processor.
"""

import socket
import time
from collections.abc import Callable

from catkinspread.clock import SystemClock
from catkinspread.eventlog import EventLog, FileDescriptorSink, LineSink
from catkinspread.ini import SettingsError
from catkinspread.platform import SettingsFileUnknown, find_settings_file
from catkinspread.runtime.exit_status import (
    ExitStatus,
    report_start_failure,
    report_unexpected_error,
)
from catkinspread.runtime.packet_address import PacketAddressRetry, open_packet_socket
from catkinspread.runtime.settings import ForwardingSettings, read_forwarding_settings
from catkinspread.runtime.standard_streams import prepare_standard_streams

_NANOSECONDS_PER_MS = 1_000_000


def main(report_load_error: Callable[[Exception], int]) -> int:
    """Runs an instance until it receives a stop signal.

    Args:
        report_load_error: Reports that a module cannot be loaded and returns the exit status.

    Returns:
        The exit status, see `ExitStatus`; 0 after a graceful shutdown.
    """
    prepare_standard_streams()
    sink = FileDescriptorSink()
    try:
        settings = read_settings()
    except (SettingsFileUnknown, SettingsError) as error:
        return report_start_failure(sink, "", ExitStatus.SETTINGS_INVALID, str(error))
    try:
        packet_socket = _open_packet_socket(settings, sink)
    except OSError as error:
        status = ExitStatus.PACKET_ADDRESS_UNAVAILABLE
        detail = f"cannot open packet socket {settings.packet_address}: {error}"
        return report_start_failure(sink, settings.name, status, detail)
    opened_at_ns = time.monotonic_ns()
    try:
        _load_modules()
    except Exception as error:  # A damaged module can raise more than ImportError.
        return report_load_error(error)
    try:
        _run(settings, packet_socket, sink, opened_at_ns)
    except Exception as error:
        return report_unexpected_error(sink, settings.name, error)
    return ExitStatus.OK


def read_settings() -> ForwardingSettings:
    """Reads the settings file that the platform names.

    Raises:
        SettingsFileUnknown: If the environment does not name a file.
        SettingsError: If the settings are invalid.
    """
    return read_forwarding_settings(find_settings_file())


def _open_packet_socket(settings: ForwardingSettings, sink: LineSink) -> socket.socket:
    """Opens the packet socket and logs each attempt that is repeated; see `open_packet_socket`."""
    clock = SystemClock()
    events = EventLog(settings.name, sink, clock)

    def log_retry(retry: PacketAddressRetry) -> None:
        events.write_always(
            "packet_address_retry",
            clock.now_ms(),
            address=str(retry.address),
            reason=retry.reason,
            pause_ms=retry.pause_ms,
        )

    return open_packet_socket(settings.packet_address, log_retry)


def _load_modules() -> None:
    """Imports the modules that `_run` needs; the packet socket must be open before."""
    import catkinspread.runtime.instance  # noqa: F401


def _run(
    settings: ForwardingSettings, packet_socket: socket.socket, sink: LineSink, opened_at_ns: int
) -> None:
    import anyio

    from catkinspread.runtime.instance import ForwardingInstance
    from catkinspread.runtime.startup_times import StartupTimes

    clock = SystemClock()
    loading_ms = (time.monotonic_ns() - opened_at_ns) // _NANOSECONDS_PER_MS
    startup = StartupTimes(clock.now_ms() - loading_ms)
    instance = ForwardingInstance(settings, read_settings, clock, sink, packet_socket, startup)
    anyio.run(instance.run)
