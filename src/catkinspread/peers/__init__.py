"""Communication between instances: membership gossip and sharing of the deployment state."""

from catkinspread.peers.directory import FEEDERS_PER_DATA_CENTRE, PeerDirectory
from catkinspread.peers.exchange import PeerExchange
from catkinspread.peers.feed import FEED_REQUEST_MAX_BYTES, FeedServer, PeerSource
from catkinspread.peers.messages import (
    FlowAnnouncement,
    FlowLocation,
    Hello,
    HelloReply,
    KnownMember,
    LoadReport,
    Member,
    MemberStatus,
    MessageError,
    UnreachableReport,
    decode_message,
    encode_message,
)
from catkinspread.peers.shared_source import AnsweredSpan, SharedSource
from catkinspread.peers.state_cache import StateCache

__all__ = [
    "FEEDERS_PER_DATA_CENTRE",
    "FEED_REQUEST_MAX_BYTES",
    "AnsweredSpan",
    "FeedServer",
    "FlowAnnouncement",
    "FlowLocation",
    "Hello",
    "HelloReply",
    "KnownMember",
    "LoadReport",
    "Member",
    "MemberStatus",
    "MessageError",
    "PeerDirectory",
    "PeerExchange",
    "PeerSource",
    "SharedSource",
    "StateCache",
    "UnreachableReport",
    "decode_message",
    "encode_message",
]
