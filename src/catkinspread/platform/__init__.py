"""Translates between the users' prepared machines and the product.

Nothing outside this package knows the names, formats and calls of the platform, and nothing in
it decides anything.
"""

from catkinspread.platform.packet_port import PacketPort
from catkinspread.platform.packets import read_request_id
from catkinspread.platform.readiness import ReadinessServer
from catkinspread.platform.settings import SettingsFileUnknown, find_settings_file
from catkinspread.platform.store import StoreClient

__all__ = [
    "PacketPort",
    "ReadinessServer",
    "SettingsFileUnknown",
    "StoreClient",
    "find_settings_file",
    "read_request_id",
]
