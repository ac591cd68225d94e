"""Forwarding program: settings, wiring, startup and shutdown."""

from catkinspread.lazy import export_lazily

__all__ = ["ForwardingInstance", "ForwardingSettings", "read_forwarding_settings"]

__getattr__ = export_lazily(
    __name__,
    {
        "ForwardingInstance": "instance",
        "ForwardingSettings": "settings",
        "read_forwarding_settings": "settings",
    },
)
