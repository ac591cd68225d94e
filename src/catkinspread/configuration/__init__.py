"""The configuration log: its entries and how they change a configuration."""

from catkinspread.configuration.effects import (
    ChangeEntry,
    DataCentreSet,
    Effect,
    EntryError,
    GroupChanged,
    ServiceSet,
    SlotMove,
    SlotsListed,
    SlotsMoved,
    UpstreamRemoved,
    UpstreamSet,
    apply_entry,
    decode_entry,
    encode_entry,
)

__all__ = [
    "ChangeEntry",
    "DataCentreSet",
    "Effect",
    "EntryError",
    "GroupChanged",
    "ServiceSet",
    "SlotMove",
    "SlotsListed",
    "SlotsMoved",
    "UpstreamRemoved",
    "UpstreamSet",
    "apply_entry",
    "decode_entry",
    "encode_entry",
]
