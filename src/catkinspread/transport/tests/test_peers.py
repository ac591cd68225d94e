"""Tests of the traffic between instances."""

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


def test_only_accepted_keys_are_heard_and_a_key_can_be_replaced():
    """Guards against messages from a process without a key, and against a cut while replacing."""

    async def scenario():
        server, old, new, stranger = new_keys(), new_keys(), new_keys(), new_keys()
        heard = []
        receiver = PeerTransport(
            free_endpoint(), KeySettings(*server, *old, (old[0], new[0])), heard.append
        )
        senders = {
            name: PeerTransport(free_endpoint(), KeySettings(*server, *keys, ()), lambda _: None)
            for name, keys in (("old", old), ("new", new), ("stranger", stranger))
        }
        async with anyio.create_task_group() as group:
            await group.start(receiver.run)
            for sender in senders.values():
                await group.start(sender.run)
            with anyio.fail_after(20):
                while set(heard) != {b"old", b"new"}:
                    for name, sender in senders.items():
                        sender.send(name.encode(), receiver.endpoint)
                    await anyio.sleep(0.05)
            # The stranger has had at least as many chances as the others.
            await anyio.sleep(0.2)
            group.cancel_scope.cancel()
        return set(heard)

    assert anyio.run(scenario) == {b"old", b"new"}
