"""Communication between instances: membership gossip and sharing of the deployment state."""

from catkinspread.peers.contact_registry import (
    CONTACTS_PER_DATA_CENTRE,
    ContactList,
    ContactRegistry,
    RegistryUnavailable,
)
from catkinspread.peers.directory import FEEDERS_PER_DATA_CENTRE, PeerDirectory
from catkinspread.peers.discovery import PeerDiscovery
from catkinspread.peers.exchange import PeerExchange
from catkinspread.peers.feed import FEED_REQUEST_MAX_BYTES, FeedServer, PeerSource
from catkinspread.peers.instance_count import UNKNOWN_INSTANCE_COUNT
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
    RestartMessage,
    SourceCheckRequest,
    UnreachableReport,
    decode_message,
    encode_message,
)
from catkinspread.peers.shared_source import AnsweredSpan, SharedSource
from catkinspread.peers.state_cache import StateCache

__all__ = [
    "CONTACTS_PER_DATA_CENTRE",
    "FEEDERS_PER_DATA_CENTRE",
    "FEED_REQUEST_MAX_BYTES",
    "UNKNOWN_INSTANCE_COUNT",
    "AnsweredSpan",
    "ContactList",
    "ContactRegistry",
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
    "PeerDiscovery",
    "PeerExchange",
    "PeerSource",
    "RegistryUnavailable",
    "RestartMessage",
    "SharedSource",
    "SourceCheckRequest",
    "StateCache",
    "UnreachableReport",
    "decode_message",
    "encode_message",
]
