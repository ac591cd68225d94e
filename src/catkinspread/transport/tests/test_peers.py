"""Tests of the messages between instances."""

import anyio
import zmq

from catkinspread.model import Endpoint
from catkinspread.settings import KeySettings
from catkinspread.sockets import find_free_ports
from catkinspread.transport.peers import PeerTransport


def free_endpoint():
    return Endpoint("127.0.0.1", find_free_ports(1)[0])


def new_keys():
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


def test_messages_are_received_from_clients_with_an_accepted_key_only():
    """Guards against messages from a process whose key is not accepted.

    During the replacement of a key the old and the new one are accepted; messages from instances
    with either of them must be received.
    """

    async def scenario():
        server, old, new, unknown = new_keys(), new_keys(), new_keys(), new_keys()
        received = []
        receiver = PeerTransport(
            free_endpoint(), KeySettings(*server, *old, (old[0], new[0])), received.append
        )
        senders = {
            name: PeerTransport(free_endpoint(), KeySettings(*server, *keys, ()), lambda _: None)
            for name, keys in (("old", old), ("new", new), ("unknown", unknown))
        }
        async with anyio.create_task_group() as group:
            await group.start(receiver.run)
            for sender in senders.values():
                await group.start(sender.run)
            with anyio.fail_after(20):
                while set(received) != {b"old", b"new"}:
                    for name, sender in senders.items():
                        sender.send(name.encode(), receiver.endpoint)
                    await anyio.sleep(0.05)
            # The unknown client has sent as many messages as the others. This leaves time for them to
            # arrive if they were accepted by mistake.
            await anyio.sleep(0.2)
            group.cancel_scope.cancel()
        return set(received)

    assert anyio.run(scenario) == {b"old", b"new"}
