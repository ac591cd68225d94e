"""The program that forwards packets: settings, wiring, start and stop."""

from catkinspread.runtime.instance import ForwardingInstance
from catkinspread.runtime.main import main
from catkinspread.runtime.settings import ForwardingSettings, read_forwarding_settings

__all__ = ["ForwardingInstance", "ForwardingSettings", "main", "read_forwarding_settings"]
