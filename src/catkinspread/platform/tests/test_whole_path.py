"""Whole instances on loopback between stand-ins for the platform."""

import itertools
import socket

import anyio
import msgspec
import pytest

from catkinspread.deployment import SHORT_TOKEN_MAX, StateKind, compute_token
from catkinspread.platform.packets import FLAG_RST as RST
from catkinspread.platform.stand_ins import StoreMode
from catkinspread.platform.tests.corpus import ENTRIES, VALID
from catkinspread.platform.tests.deployment import (
    ADDRESS,
    INSTANCES,
    START_TIMEOUT_S,
    UPSTREAMS,
    Deployment,
    play,
)


def test_request_reaches_an_upstream_and_its_answer_the_caller() -> None:
    """Guards against any part of the path that does not fit the next one."""

    async def scenario(deployment: Deployment) -> None:
        port, head = await deployment.caller.open(ADDRESS)
        answer = await deployment.caller.request(ADDRESS, port, head[3])
        assert answer.startswith(b"HTTP/1.1 200")
        keys = {key for upstream in deployment.upstreams for key, _, _ in upstream.received}
        assert keys <= {0x0A, 0x1A}
        assert deployment.lines[0].find("request")[0]["request"] == "r1"

    play(scenario)


def test_flow_goes_on_through_another_instance_that_started_without_the_store() -> None:
    """Guards against flows that break with their instance, and starts that need the store."""

    async def scenario(deployment: Deployment) -> None:
        port, head = await deployment.caller.open(ADDRESS)
        deployment.store.mode = StoreMode.BUSY
        await deployment.start_instance(1)
        deployment.caller.use_instance(INSTANCES[1])
        answer = await deployment.caller.request(ADDRESS, port, head[3])
        assert answer.startswith(b"HTTP/1.1 200")
        assert deployment.lines[1].find("flow_adopted")

    play(scenario)


def test_packet_that_comes_before_the_program_is_loaded_is_served() -> None:
    """Guards against callers that wait for their copies because an instance restarts."""

    async def scenario(deployment: Deployment) -> None:
        packet_socket = deployment.open_packet_socket(1)
        deployment.caller.use_instance(INSTANCES[1])
        async with anyio.create_task_group() as group:
            group.start_soon(deployment.caller.open, ADDRESS)
            await anyio.sleep(0.05)
            await deployment.start_instance(1, packet_socket)
        assert deployment.count_opened(0) + deployment.count_opened(1) == 1

    play(scenario)


def test_request_is_served_while_the_port_of_the_metrics_is_taken() -> None:
    """Guards against callers that are not served because a part that they do not need failed."""

    async def scenario(deployment: Deployment) -> None:
        with socket.create_server((INSTANCES[1], deployment.metrics_port)):
            await deployment.start_instance(1)
            deployment.caller.use_instance(INSTANCES[1])
            port, head = await deployment.caller.open(ADDRESS)
            answer = await deployment.caller.request(ADDRESS, port, head[3])
        assert answer.startswith(b"HTTP/1.1 200")
        assert deployment.lines[1].find("part_failed")[0]["part"] == "metrics"

    play(scenario)


def test_instance_whose_feed_cannot_listen_is_not_read_from() -> None:
    """Guards against followers that miss all changes because their feeder cannot answer them."""

    async def scenario(deployment: Deployment) -> None:
        with socket.create_server((INSTANCES[1], deployment.peer_port)):
            await deployment.start_instance(1)
            status = deployment.instances[1]._read_status()
            assert deployment.instances[1]._cache.is_complete
            assert not status.has_state
        with anyio.fail_after(START_TIMEOUT_S):
            while not deployment.instances[1]._read_status().has_state:
                await anyio.sleep(0.02)

    play(scenario)


def test_silent_upstream_costs_the_caller_little() -> None:
    """Guards against a caller that waits for its own copy of the opening packet."""

    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams[0].is_silent = True
        for _ in range(4):
            await deployment.caller.open(ADDRESS)
        assert deployment.count_opened(1) == 4
        assert deployment.count_opened(0) <= 2

    play(scenario)


def test_flow_of_a_crashed_upstream_is_reset() -> None:
    """Guards against callers that wait for their deadline because an upstream crashed."""

    async def scenario(deployment: Deployment) -> None:
        caller = deployment.caller
        flows: dict[int, int] = {}  # Port of a flow by its token field.
        upstreams: dict[int, int] = {}  # Token field of a flow by its upstream.
        while len(upstreams) < len(UPSTREAMS):
            port, head = await caller.open(ADDRESS)
            flows[head[3]] = port
            upstreams[head[3] & SHORT_TOKEN_MAX] = head[3]
        dead = upstreams.pop(compute_token("i-0a") & SHORT_TOKEN_MAX)
        (live,) = upstreams.values()
        deployment.upstreams[0].crash()
        head: tuple[int, ...] = (0,) * 11
        with anyio.fail_after(START_TIMEOUT_S):
            for received in itertools.count(1):
                caller.send_request(ADDRESS, flows[dead], dead)
                caller.send_request(ADDRESS, flows[live], live, received)
                head, _ = await caller.receive()
                if head[8] & RST:
                    break
                await anyio.sleep(0.05)
        assert head[7] != flows[live]
        assert deployment.lines[0].find("flow_reset")[0]["upstream"] == "i-0a"

    play(scenario)


@pytest.mark.parametrize("service", ["pages", "gone"])
def test_changes_of_the_operator_come_into_force(service: str) -> None:
    """Guards against draining upstreams and dropped routes that still get flows."""

    async def scenario(deployment: Deployment) -> None:
        deployment.put_upstream(0, state="draining")
        deployment.store.put_configuration(deployment.build_configuration(2, service))
        await anyio.sleep(0.6)
        _, head = await deployment.caller.open(ADDRESS)
        assert deployment.count_opened(0) == 0
        is_refused = bool(head[8] & RST)
        assert is_refused == (service == "gone")

    play(scenario)


def test_entries_of_another_writer_cost_only_themselves() -> None:
    """Guards against the end of a process, a reader that stops, or a target that is lost.

    The damaged entries stand under new names and under those of both upstreams. An entry that breaks
    the answer as a whole is left out, because the store only gives out answers that are JSON.
    """
    names = ("i-ff", *(f"i-{number}a" for number in range(len(UPSTREAMS))))
    entries = [entry for entry in ENTRIES if entry not in (VALID, VALID[:-20], VALID + b"}")]

    async def scenario(deployment: Deployment) -> None:
        refused = 0
        for entry in entries:
            for name in names:
                deployment.store.put(StateKind.UPSTREAMS, name, msgspec.Raw(entry))
        with anyio.fail_after(START_TIMEOUT_S):
            while refused < len(names):
                await anyio.sleep(0.05)
                lines = deployment.lines[0].find("object_refused")
                refused = len({line["name"] for line in lines})
        port, head = await deployment.caller.open(ADDRESS)
        answer = await deployment.caller.request(ADDRESS, port, head[3])
        assert answer.startswith(b"HTTP/1.1 200")
        deployment.put_upstream(0, state="draining")
        await anyio.sleep(0.6)
        opened = deployment.count_opened(0)
        for _ in range(4):
            await deployment.caller.open(ADDRESS)
        assert deployment.count_opened(0) == opened

    play(scenario)
