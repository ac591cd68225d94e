"""Tests of the UDP transport."""

import anyio

from catkinspread.clock import ManualClock
from catkinspread.model import Endpoint
from catkinspread.transport import UdpTransport


def test_all_datagrams_of_a_burst_are_received_in_order():
    """Guards against a transport that loses datagrams of a burst.

    A datagram sent after the socket is closed must be counted as dropped.
    """

    async def scenario():
        received = []
        receiver = UdpTransport(Endpoint("127.0.0.1", 0), lambda data, _: received.append(data))
        sender = UdpTransport(Endpoint("127.0.0.1", 0), lambda data, _: None)
        async with anyio.create_task_group() as group:
            await group.start(receiver.run)
            await group.start(sender.run)
            for number in range(500):
                sender.send(number.to_bytes(2, "big"), receiver.endpoint)
            with anyio.fail_after(20):
                while len(received) < 500:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        sender.send(b"late", receiver.endpoint)
        return received, sender.dropped_count

    received, dropped_count = anyio.run(scenario)
    assert received == [number.to_bytes(2, "big") for number in range(500)]
    assert dropped_count == 1


def test_a_datagram_is_not_sent_at_or_after_its_deadline():
    """Guards against a request that is sent late because the process was paused."""

    async def scenario():
        received = []
        clock = ManualClock(1_000)
        receiver = UdpTransport(Endpoint("127.0.0.1", 0), lambda data, _: received.append(data))
        sender = UdpTransport(Endpoint("127.0.0.1", 0), lambda data, _: None, clock)
        async with anyio.create_task_group() as group:
            await group.start(receiver.run)
            await group.start(sender.run)
            sender.send(b"late", receiver.endpoint, not_after_ms=1_000)
            sender.send(b"in time", receiver.endpoint, not_after_ms=1_001)
            with anyio.fail_after(20):
                while not received:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return received, sender.dropped_count

    assert anyio.run(scenario) == ([b"in time"], 1)


def test_datagrams_are_received_after_the_handler_raised():
    """Guards against a single datagram that stops an instance through an error in the handler."""

    async def scenario():
        received = []

        def handle(data, _):
            if data == b"bad":
                raise KeyError(data)
            received.append(data)

        receiver = UdpTransport(Endpoint("127.0.0.1", 0), handle)
        sender = UdpTransport(Endpoint("127.0.0.1", 0), lambda data, _: None)
        async with anyio.create_task_group() as group:
            await group.start(receiver.run)
            await group.start(sender.run)
            sender.send(b"bad", receiver.endpoint)
            sender.send(b"good", receiver.endpoint)
            with anyio.fail_after(20):
                while not received:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return received, receiver.handler_error_count

    assert anyio.run(scenario) == ([b"good"], 1)
