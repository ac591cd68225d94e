"""Calls of the registry of contacts, and discovery of instances through the store."""

import collections

import anyio
import msgspec
import pytest

from catkinspread.httpclient import HttpClient, HttpFailure, HttpResponse
from catkinspread.model import Endpoint
from catkinspread.peers import ContactList, RegistryUnavailable
from catkinspread.platform import StoreContactRegistry
from catkinspread.platform.stand_ins import StoreMode
from catkinspread.platform.tests.deployment import INSTANCES, Deployment, play

KIND = "instance-contacts"
# Addresses at which no instance is.
STALE_SEEDS = ("127.0.0.201", "127.0.0.202", "127.0.0.203")
FOUND_TIMEOUT_S = 8


class ScriptedClient:
    """Stands in for the HTTP client."""

    def __init__(self, answer: HttpResponse | HttpFailure) -> None:
        self._answer = answer
        self.calls: list[tuple[str, str, dict[str, str], bytes]] = []

    async def send(
        self,
        method: str,
        endpoint: Endpoint,
        path: str,
        query: dict[str, str],
        body: bytes,
        connect_timeout_ms: int,
        response_timeout_ms: int,
    ) -> HttpResponse:
        self.calls.append((method, path, query, body))
        if isinstance(self._answer, HttpFailure):
            raise self._answer
        return self._answer


def _registry(answer: HttpResponse | HttpFailure) -> tuple[StoreContactRegistry, ScriptedClient]:
    client = ScriptedClient(answer)
    return StoreContactRegistry(client, Endpoint("10.0.0.1", 80), collections.Counter()), client


def _listing(*specs: object) -> HttpResponse:
    items = [
        {"meta": {"name": f"dc{number}", "revision": 7}, "spec": spec}
        for number, spec in enumerate(specs)
    ]
    body = {"items": items, "has_more": False, "at_rev": 9}
    return HttpResponse(200, msgspec.json.encode(body))


@pytest.mark.parametrize(
    "spec",
    [
        None,
        {},
        "10.0.0.1",
        {"hosts": "10.0.0.1"},
        {"hosts": [1]},
        {"hosts": ["no address"]},
        {"hosts": ["224.0.0.1"]},
        {"hosts": ["255.255.255.255"]},
        {"hosts": ["10.0.0.1"] * 4},
    ],
)
def test_objects_of_other_writers_list_no_hosts(spec: object) -> None:
    """Guards against hellos to addresses that another writer made up, and against lost lists."""
    registry, _ = _registry(_listing(spec, {"hosts": ["10.0.0.9"]}))
    lists = anyio.run(registry.list_contacts, False)
    assert lists == (ContactList("dc0", (), 7), ContactList("dc1", ("10.0.0.9",), 7))


def test_bytes_that_are_no_text_hide_no_other_list() -> None:
    """Guards against one object of another writer that stops discovery."""
    answer = _listing({"hosts": ["X"]}, {"hosts": ["10.0.0.9"]})
    registry, _ = _registry(HttpResponse(200, answer.body.replace(b'"X"', b'"\xff"')))
    assert anyio.run(registry.list_contacts, False)[1].hosts == ("10.0.0.9",)


@pytest.mark.parametrize(
    "answer",
    [
        HttpFailure("down"),
        HttpResponse(503, b""),
        HttpResponse(200, b'{"items":'),
        HttpResponse(200, b'{"items":[' + b"[" * 5_000 + b"]" * 5_000 + b"]}"),
    ],
)
def test_answers_that_cannot_be_used_raise_the_error_of_the_registry(
    answer: HttpResponse | HttpFailure,
) -> None:
    """Guards against an answer of the store that ends the process."""
    registry, _ = _registry(answer)
    with pytest.raises(RegistryUnavailable):
        anyio.run(registry.list_contacts, False)


def test_list_is_replaced_only_at_the_revision_that_was_read() -> None:
    """Guards against a writer that overwrites the contacts of a group that it has not seen."""
    registry, client = _registry(HttpResponse(409, b"{}"))
    replaced = ContactList("east 1", ("10.0.0.1",), 7)
    assert not anyio.run(registry.put_contacts, "east 1", ("10.0.0.2",), replaced)
    method, path, _, body = client.calls[0]
    assert (method, path) == ("PUT", f"/catkinspread/objects/{KIND}/east%201")
    assert msgspec.json.decode(body) == {
        "meta": {"name": "east 1", "revision": 7},
        "spec": {"hosts": ["10.0.0.2"]},
    }


def test_new_list_is_created_and_read_cheaply_where_it_may_be_outdated() -> None:
    """Guards against a full price for reads that may be seconds old."""
    registry, client = _registry(HttpResponse(200, b'{"items":[]}'))
    assert anyio.run(registry.put_contacts, "east", ("10.0.0.2",), None)
    assert client.calls[0][:2] == ("POST", f"/catkinspread/objects/{KIND}")
    anyio.run(registry.list_contacts, True)
    assert client.calls[1][2] == {"serializable": "1"}


async def _read_page(client: HttpClient, host: str, port: int) -> bytes:
    return (await client.get(Endpoint(host, port), "/metrics", {}, 1_000, 1_000)).body


async def _wait_for_contacts(deployment: Deployment, *hosts: str) -> None:
    with anyio.fail_after(FOUND_TIMEOUT_S):
        while deployment.store.list_specs(KIND) != {"east": {"hosts": list(hosts)}}:
            await anyio.sleep(0.05)


@pytest.mark.parametrize("seeds", [STALE_SEEDS, ()])
def test_instance_whose_seeds_have_left_finds_the_others_through_the_store(
    seeds: tuple[str, ...],
) -> None:
    """Guards against added instances that stay alone and are not counted (review case 5)."""

    async def scenario(deployment: Deployment) -> None:
        await _wait_for_contacts(deployment, INSTANCES[0])
        await deployment.start_instance(1, seeds=seeds)
        async with HttpClient() as client:
            with anyio.fail_after(FOUND_TIMEOUT_S):
                for host in INSTANCES:
                    while b"catkinspread_instances_estimated 2.0" not in await _read_page(
                        client, host, deployment.metrics_port
                    ):
                        await anyio.sleep(0.05)

    play(scenario)


def test_instance_goes_on_alone_while_the_store_is_down() -> None:
    """Guards against a discovery that ends the process, or never tries again."""

    async def scenario(deployment: Deployment) -> None:
        deployment.store.mode = StoreMode.BUSY
        with anyio.fail_after(FOUND_TIMEOUT_S):
            while not deployment.lines[0].find("discovery_failed"):
                await anyio.sleep(0.05)
        deployment.store.mode = StoreMode.NORMAL
        await _wait_for_contacts(deployment, INSTANCES[0])

    play(scenario)
