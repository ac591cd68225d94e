"""Starts a forwarding instance with the settings file that the platform names.

The packet socket is opened before most modules are loaded, so that packets which arrive meanwhile
wait instead of being lost; loading takes several tenths of a second on a small machine.
"""

import socket
import sys

from catkinspread.ini import SettingsError
from catkinspread.platform import SettingsFileUnknown, find_settings_file
from catkinspread.runtime.settings import ForwardingSettings, read_forwarding_settings
from catkinspread.sockets import open_udp_socket

EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Runs an instance until it is told to stop.

    Returns:
        0 after a graceful stop, 2 if the settings are not valid.
    """
    try:
        settings = read_settings()
        packet_socket = open_udp_socket(settings.packet_address)
    except (SettingsFileUnknown, SettingsError) as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f"cannot open {settings.packet_address}: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    _run(settings, packet_socket)
    return EXIT_OK


def read_settings() -> ForwardingSettings:
    """Returns the settings of the file that the platform names.

    Raises:
        SettingsFileUnknown: If the environment does not name it.
        SettingsError: If they are not valid.
    """
    return read_forwarding_settings(find_settings_file())


def _run(settings: ForwardingSettings, packet_socket: socket.socket) -> None:
    # Loaded here, after the socket is open.
    import anyio

    from catkinspread.clock import SystemClock
    from catkinspread.eventlog import LineWriter
    from catkinspread.runtime.instance import ForwardingInstance

    instance = ForwardingInstance(
        settings, read_settings, SystemClock(), LineWriter(), packet_socket
    )
    anyio.run(instance.run)
