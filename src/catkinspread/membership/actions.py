"""Actions returned by `MembershipView` for the caller to carry out."""

import msgspec

from catkinspread.membership.messages import MembershipMessage, MemberState
from catkinspread.model import Endpoint


class SendMessage(msgspec.Struct, frozen=True):
    """Requests that a message be sent.

    Attributes:
        member: Id of the receiver; empty for a seed whose id is unknown.
        endpoint: Address of the receiver.
        message: The message.
    """

    member: str
    endpoint: Endpoint
    message: MembershipMessage


class MemberChanged(msgspec.Struct, frozen=True):
    """Reports that the state or incarnation of a member has changed in this view."""

    member: str
    incarnation: int
    state: MemberState


class NewerVersionReported(msgspec.Struct, frozen=True):
    """Reports that a peer has a newer configuration version than this instance."""

    member: str
    version: int


MembershipAction = SendMessage | MemberChanged | NewerVersionReported
