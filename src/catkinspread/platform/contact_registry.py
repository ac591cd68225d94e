"""Keeps the contacts of instances in the platform's store, as objects of a kind of our own.

There is one object for each data centre, named after it, so the number of objects is bounded
although none expires. Objects of other writers list nothing.
"""

import collections
import ipaddress
from urllib.parse import quote

import msgspec
from absl import logging

from catkinspread.httpclient import HttpClient, HttpFailure, HttpResponse
from catkinspread.model import Endpoint
from catkinspread.peers import CONTACTS_PER_DATA_CENTRE, ContactList, RegistryUnavailable
from catkinspread.platform.store import ANSWER_TIMEOUT_MS, BASE_PATH, CONNECT_TIMEOUT_MS

_PATH = BASE_PATH + "instance-contacts"
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
# Only the first page of a listing is read: there are a few data centres, and any more objects are of
# other writers.
_MALFORMED_LOG_INTERVAL_S = 10


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Item(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Listing(msgspec.Struct):
    items: list[msgspec.Raw] = []


class _Contacts(msgspec.Struct):
    hosts: list[str]


class _WrittenMeta(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int = 0


class _WrittenObject(msgspec.Struct):
    meta: _WrittenMeta
    spec: _Contacts


class StoreContactRegistry:
    """Implements `catkinspread.peers.ContactRegistry` with objects of the store.

    Args:
        client: Makes the calls.
        endpoint: Address of the store.
        call_counts: Counts the calls as `list_contacts` and `put_contacts`.
    """

    __slots__ = ("_call_counts", "_client", "_endpoint")

    def __init__(
        self, client: HttpClient, endpoint: Endpoint, call_counts: collections.Counter[str]
    ) -> None:
        self._client = client
        self._endpoint = endpoint
        self._call_counts = call_counts

    async def list_contacts(self, may_be_outdated: bool) -> tuple[ContactList, ...]:
        """Returns the lists of the data centres; see `ContactRegistry`."""
        self._call_counts["list_contacts"] += 1
        query = {"serializable": "1"} if may_be_outdated else {}
        answer = await self._send("GET", _PATH, query, b"")
        if answer.status != _OK:
            raise RegistryUnavailable(f"{_PATH} answered {answer.status}")
        return tuple(
            found for found in map(_decode_item, _decode_listing(answer.body).items) if found
        )

    async def put_contacts(
        self, data_centre: str, hosts: tuple[str, ...], replaced: ContactList | None
    ) -> bool:
        """Creates or replaces the list of a data centre; see `ContactRegistry`."""
        self._call_counts["put_contacts"] += 1
        revision = replaced.revision if replaced else 0
        written = _WrittenObject(_WrittenMeta(data_centre, revision), _Contacts(list(hosts)))
        body = msgspec.json.encode(written)
        if replaced is None:
            answer = await self._send("POST", _PATH, {}, body)
        else:
            answer = await self._send("PUT", f"{_PATH}/{quote(data_centre, safe='')}", {}, body)
        if answer.status in (_CONFLICT, _NOT_FOUND):
            return False
        if answer.status not in (_OK, _CREATED):
            raise RegistryUnavailable(f"{_PATH} answered a write with {answer.status}")
        return True

    async def _send(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> HttpResponse:
        try:
            return await self._client.send(
                method, self._endpoint, path, query, body, CONNECT_TIMEOUT_MS, ANSWER_TIMEOUT_MS
            )
        except HttpFailure as error:
            raise RegistryUnavailable(str(error)) from error


def _decode_listing(body: bytes) -> _Listing:
    # Objects of other writers may contain bytes that are no UTF-8, or be nested too deeply.
    text = body.decode(errors="replace")
    try:
        return msgspec.json.decode(text, type=_Listing)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RegistryUnavailable(f"listing of {_PATH} cannot be read: {error!r}") from error


def _decode_item(encoded: msgspec.Raw) -> ContactList | None:
    """Returns the list of an object; None if it has no name, and no hosts if it holds none."""
    try:
        item = msgspec.json.decode(encoded, type=_Item)
    except msgspec.DecodeError as error:
        _log_malformed("", error)
        return None
    try:
        hosts = msgspec.json.decode(item.spec, type=_Contacts).hosts
        _check_hosts(hosts)
    except (msgspec.DecodeError, ValueError) as error:
        _log_malformed(item.meta.name, error)
        hosts = []
    return ContactList(item.meta.name, tuple(hosts), item.meta.revision)


def _check_hosts(hosts: list[str]) -> None:
    """Raises ValueError if the addresses are not those of a few machines."""
    if len(hosts) > CONTACTS_PER_DATA_CENTRE:
        raise ValueError(f"{len(hosts)} hosts, at most {CONTACTS_PER_DATA_CENTRE} are expected")
    for host in hosts:
        address = ipaddress.IPv4Address(host)
        if address.is_multicast or address.is_unspecified or address.is_reserved:
            raise ValueError(f"{host} is not the address of a machine")


def _log_malformed(name: str, error: Exception) -> None:
    logging.log_every_n_seconds(
        logging.WARNING,
        "platform: contacts %s are not used: %s",
        _MALFORMED_LOG_INTERVAL_S,
        name,
        error,
    )
