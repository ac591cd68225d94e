"""Tests of the UDP port."""

import anyio

from catkinspread.clock import ManualClock
from catkinspread.model import Endpoint
from catkinspread.transport import UdpTransport


def test_a_burst_is_received_whole():
    """Guards against a port that keeps only the latest datagrams of a burst."""

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


def test_a_datagram_is_not_sent_after_its_time_limit():
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


def test_a_handler_that_raises_does_not_close_the_port():
    """Guards against one datagram that ends an instance."""

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
        return received, receiver.failed_count

    assert anyio.run(scenario) == ([b"good"], 1)
