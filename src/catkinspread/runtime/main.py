"""Entry point of a forwarding instance, with the settings file that the platform names.

The packet socket is opened before most modules are imported, so that packets that arrive in the
meantime are queued instead of lost; the imports take several tenths of a second on a slow processor.
"""

import socket
import sys
import time

from catkinspread.ini import SettingsError
from catkinspread.platform import SettingsFileUnknown, find_settings_file
from catkinspread.runtime.settings import ForwardingSettings, read_forwarding_settings
from catkinspread.sockets import open_udp_socket

_NANOSECONDS_PER_MS = 1_000_000
EXIT_OK = 0
EXIT_STARTUP_FAILED = 2


def main() -> int:
    """Runs an instance until it receives a stop signal.

    Returns:
        0 after a graceful shutdown, 2 if the settings are invalid or the packet socket cannot be
        opened.
    """
    try:
        settings = read_settings()
        packet_socket = open_udp_socket(settings.packet_address)
    except (SettingsFileUnknown, SettingsError) as error:
        print(error, file=sys.stderr)
        return EXIT_STARTUP_FAILED
    except OSError as error:
        print(f"cannot open packet socket {settings.packet_address}: {error}", file=sys.stderr)
        return EXIT_STARTUP_FAILED
    _run(settings, packet_socket, time.monotonic_ns())
    return EXIT_OK


def read_settings() -> ForwardingSettings:
    """Reads the settings file that the platform names.

    Raises:
        SettingsFileUnknown: If the environment does not name a file.
        SettingsError: If the settings are invalid.
    """
    return read_forwarding_settings(find_settings_file())


def _run(settings: ForwardingSettings, packet_socket: socket.socket, opened_at_ns: int) -> None:
    # Imported here because the socket must be open first.
    import anyio

    from catkinspread.clock import SystemClock
    from catkinspread.eventlog import FileDescriptorSink
    from catkinspread.runtime.instance import ForwardingInstance
    from catkinspread.runtime.startup_times import StartupTimes

    clock = SystemClock()
    loading_ms = (time.monotonic_ns() - opened_at_ns) // _NANOSECONDS_PER_MS
    startup = StartupTimes(clock.now_ms() - loading_ms)
    instance = ForwardingInstance(
        settings, read_settings, clock, FileDescriptorSink(), packet_socket, startup
    )
    anyio.run(instance.run)
