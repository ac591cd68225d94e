"""Actions that the membership logic asks its task to carry out."""

import msgspec

from catkinspread.membership.messages import MembershipMessage, MemberState
from catkinspread.model import Endpoint


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message.

    Attributes:
        member: Id of the receiver; empty for a seed whose id is unknown.
        endpoint: Where to send it.
        message: The message.
    """

    member: str
    endpoint: Endpoint
    message: MembershipMessage


class MemberChanged(msgspec.Struct, frozen=True):
    """The state or incarnation of a member has changed in this view."""

    member: str
    incarnation: int
    state: MemberState


class NewerVersionReported(msgspec.Struct, frozen=True):
    """A peer has reported a configuration version above the version of this instance."""

    member: str
    version: int


MembershipAction = SendMessage | MemberChanged | NewerVersionReported
