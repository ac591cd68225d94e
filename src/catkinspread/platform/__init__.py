"""Translates between the users' prepared machines and the product.

Nothing outside this package knows the names, formats and calls of the platform, and nothing in
it decides anything.
"""

from catkinspread.lazy import export_lazily

__all__ = [
    "PacketPort",
    "ReadinessServer",
    "RefusalLog",
    "SettingsFileUnknown",
    "StoreClient",
    "StoreContactRegistry",
    "find_settings_file",
    "read_request_id",
]

__getattr__ = export_lazily(
    __name__,
    {
        "PacketPort": "packet_port",
        "ReadinessServer": "readiness",
        "RefusalLog": "refusals",
        "SettingsFileUnknown": "settings",
        "StoreClient": "store",
        "StoreContactRegistry": "contact_registry",
        "find_settings_file": "settings",
        "read_request_id": "packets",
    },
)
