"""Messages to send and changes to report, returned by `MembershipView`.

The caller sends the message of a `SendMessage`. `MemberChanged` and `NewerVersionReported` are
notifications.
"""

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
    """Reports that the state or incarnation of a member has changed in this view.

    Attributes:
        member: Id of the instance.
        incarnation: New incarnation.
        state: New state.
    """

    member: str
    incarnation: int
    state: MemberState


class NewerVersionReported(msgspec.Struct, frozen=True):
    """Reports that a peer has a newer configuration version than this instance.

    Attributes:
        member: Id of the peer.
        version: Newer configuration version.
    """

    member: str
    version: int


MembershipAction = SendMessage | MemberChanged | NewerVersionReported
