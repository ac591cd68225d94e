"""Which instances of other data centres keep where a contested flow is open.

They are chosen by rendezvous hashing of the flow, so that an instance of any data centre knows whom to
ask. Instances that restart keep their rank; the next ones are asked as well, because a keeper tells
the next one before a planned stop.
"""

from catkinspread.forwarding import FlowKey
from catkinspread.hashing import rank_by_rendezvous
from catkinspread.peers import PeerDirectory

# Copies of a contested flow in other data centres, in one data centre each if there are several.
REMOTE_COPIES = 2
# Data centres whose instances are asked. The first REMOTE_COPIES of a flow, without the one in which it
# was opened, are among the first of any other data centre's ranking if one more is asked.
ASKED_DATA_CENTRES = REMOTE_COPIES + 1
# Instances that are asked in each of them.
ASKED_PER_DATA_CENTRE = 2


class FlowKeepers:
    """Chooses the keepers of flows.

    Args:
        directory: Directory of the other instances.
    """

    __slots__ = ("_directory",)

    def __init__(self, directory: PeerDirectory) -> None:
        self._directory = directory

    def choose_remote_to_tell(self, key: FlowKey, now_ms: int) -> list[str]:
        """Returns the addresses of the instances of other data centres that keep a flow.

        Args:
            key: Key of the flow.
            now_ms: Current time.
        """
        ranked = self._rank_remote(key, now_ms, include_leaving=False)
        by_rank = [
            names[rank] for rank in range(REMOTE_COPIES) for names in ranked if rank < len(names)
        ]
        return self._find_hosts(by_rank[:REMOTE_COPIES])

    def choose_remote_to_ask(self, key: FlowKey, now_ms: int) -> list[str]:
        """Returns the addresses of the instances of other data centres that may keep a flow.

        Args:
            key: Key of the flow.
            now_ms: Current time.
        """
        ranked = self._rank_remote(key, now_ms, include_leaving=True)
        chosen = [
            name for names in ranked[:ASKED_DATA_CENTRES] for name in names[:ASKED_PER_DATA_CENTRE]
        ]
        return self._find_hosts(chosen)

    def choose_successor(self, key: FlowKey) -> str | None:
        """Returns the address of the instance that keeps a flow once this one has stopped.

        It is the first one of this data centre that stays; None if there is none.

        Args:
            key: Key of the flow.
        """
        hosts = {member.name: member.host for member in self._directory.list_staying_peers()}
        if not hosts:
            return None
        return hosts[rank_by_rendezvous(_describe(key), hosts)[0]]

    def _rank_remote(self, key: FlowKey, now_ms: int, include_leaving: bool) -> list[list[str]]:
        """Returns the instances of each other data centre, both in the order of their rank."""
        names = self._directory.list_remote_names(now_ms, include_leaving)
        text = _describe(key)
        data_centres = rank_by_rendezvous(text, names)[:ASKED_DATA_CENTRES]
        return [rank_by_rendezvous(text, names[data_centre]) for data_centre in data_centres]

    def _find_hosts(self, names: list[str]) -> list[str]:
        return [self._directory.get_host(name) for name in names]


def _describe(key: FlowKey) -> str:
    """Returns the text by which instances are ranked for a flow, the same on all of them."""
    return f"{key.caller_ip}:{key.caller_port}:{key.address.ip}:{key.address.port}"
