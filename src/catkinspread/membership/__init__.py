"""Group membership of the instances: heartbeats, failure detection, joining and leaving."""

from catkinspread.membership.actions import (
    MemberChanged,
    MembershipAction,
    NewerVersionReported,
    SendMessage,
)
from catkinspread.membership.messages import (
    Heartbeat,
    MemberRecord,
    MembershipMessage,
    MembershipMessageError,
    MemberState,
    decode_membership_message,
    encode_membership_message,
)
from catkinspread.membership.settings import MembershipSettings
from catkinspread.membership.table import Member
from catkinspread.membership.view import MembershipView

__all__ = [
    "Heartbeat",
    "Member",
    "MemberChanged",
    "MemberRecord",
    "MemberState",
    "MembershipAction",
    "MembershipMessage",
    "MembershipMessageError",
    "MembershipSettings",
    "MembershipView",
    "SendMessage",
    "NewerVersionReported",
    "decode_membership_message",
    "encode_membership_message",
]
