"""Reads the answers of the platform's store, object by object.

Everything that other writers put into the store enters the program here. Each object gives a change,
or a refusal that names it; nothing that an object holds keeps the others from being read.

An answer is decoded as a whole first. If one object makes that fail, a scanner separates the objects
and each is decoded by itself. The scanner only follows strings and brackets, so it needs no recursion
and does not care what the strings hold.

An object of 1 MB can consist of nothing but brackets, which takes the scanner up to a second. It
therefore works in steps, as a generator that yields between them, so that the event loop can handle
packets meanwhile.
"""

import re
from collections.abc import Generator
from typing import TypeVar

import msgspec

from catkinspread.deployment import RoutingConfiguration, StateChange, StateKind, StateRecord
from catkinspread.deployment.bounds import Count, Name
from catkinspread.platform.objects import ObjectShapeError, decode_record

# Longest reason of a refusal; the texts of an object may be much longer.
_REASON_MAX = 200
# What a decoder raises for input that it does not take: DecodeError covers syntax and shape, and
# UnicodeDecodeError is a ValueError. RecursionError comes with deep nesting.
DECODER_FAILURES = (msgspec.DecodeError, ValueError, OverflowError, RecursionError)

# Key of a member; those of the store are shorter.
_KEY = re.compile(rb'"(?:[^"\\]|\\.){0,256}+"', re.DOTALL)
# Matching a token cannot be interrupted, so the length of each is limited. A longer string begins with
# a token of its quote alone; what stands between strings and brackets is skipped as a token, too.
_TOKEN = re.compile(rb'"[^"\\]{0,256}+"|"|[\[\]{},:]|[^\[\]{},:"]{1,256}+')
# Inside of an element only the depth matters, so a run of brackets is one token, and so are pairs of
# them without another bracket inside.
_NESTED_TOKEN = re.compile(
    rb'(?P<pairs>(?:[\[{][^\[\]{}"]{0,64}+[\]}][^\[\]{}"]{0,64}+){1,32}+)|'
    rb'(?:"[^"\\]{0,256}+"[^\[\]{}"]{0,64}+){1,16}+|"|[\[{]{1,512}+|[\]}]{1,512}+'
    rb'|[^\[\]{}"]{1,256}+'
)
_STRING_PART = re.compile(rb'[^"\\]{1,256}+|(?:\\.){1,128}+', re.DOTALL)
# Tokens of one step; a step takes about a millisecond.
_STEP_TOKENS = 512
_OPENING = frozenset(b"[{")
_CLOSING = frozenset(b"]}")
_QUOTE = ord('"')
_COMMA = ord(",")


class AnswerError(Exception):
    """An answer of the store cannot be read."""


class RefusedObject(msgspec.Struct, frozen=True):
    """An object of the store that is not used.

    Attributes:
        kind: Kind of the object.
        name: Its name; empty if that cannot be read either.
        revision: Revision of its last change; 0 if that cannot be read.
        reason: Field and reason.
    """

    kind: StateKind
    name: str
    revision: int
    reason: str


class ReadAnswer(msgspec.Struct, frozen=True):
    """What an answer of the store holds.

    Attributes:
        changes: Change of each object that has a readable name.
        refused: The objects that are not used.
        revision: Revision of the store.
        has_more: Whether another page follows.
    """

    changes: tuple[StateChange, ...]
    refused: tuple[RefusedObject, ...]
    revision: int
    has_more: bool = False


class _Name(msgspec.Struct):
    name: Name


class _Meta(_Name):
    revision: Count = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Listing(msgspec.Struct):
    at_rev: Count
    items: list[_Object]
    has_more: bool = False


class _Watched(msgspec.Struct):
    at_rev: Count
    events: list[_Event]


_Frame = TypeVar("_Frame", bound=msgspec.Struct)
_Result = TypeVar("_Result")
# Yields between two steps and returns a result.
Steps = Generator[None, None, _Result]


class _ListingFrame(msgspec.Struct):
    """A listing without its objects."""

    at_rev: Count
    has_more: bool = False


class _WatchedFrame(msgspec.Struct):
    """The answer to a watch without its events."""

    at_rev: Count


_decode_listing = msgspec.json.Decoder(_Listing).decode
_decode_watched = msgspec.json.Decoder(_Watched).decode
_decode_object = msgspec.json.Decoder(_Object).decode
_decode_event = msgspec.json.Decoder(_Event).decode
_decode_meta = msgspec.json.Decoder(_Meta).decode
_decode_name = msgspec.json.Decoder(_Name).decode
_decode_bool = msgspec.json.Decoder(bool).decode
_decode_key = msgspec.json.Decoder(str).decode


def complete(steps: Steps[_Result]) -> _Result:
    """Runs all steps at once and returns the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def read_listing(kind: StateKind, body: bytes) -> ReadAnswer:
    """Reads a page of a listing at once; see `read_listing_in_steps`."""
    return complete(read_listing_in_steps(kind, body))


def read_changes(kind: StateKind, body: bytes) -> ReadAnswer:
    """Reads the answer to a watch at once; see `read_changes_in_steps`."""
    return complete(read_changes_in_steps(kind, body))


def read_listing_in_steps(kind: StateKind, body: bytes) -> Steps[ReadAnswer]:
    """Reads a page of a listing.

    Raises:
        AnswerError: If the answer is not a listing. Objects that are not used do not raise.
    """
    reader = _ObjectReader(kind)
    try:
        listing = _decode_listing(body)
    except DECODER_FAILURES:
        members = yield from _split_answer(body)
        frame = _decode_frame(members, _ListingFrame)
        items = yield from _split_array(members.get("items", b""))
        for item in items:
            yield from reader.read_separated(item, False)
        return reader.build_answer(frame.at_rev, frame.has_more)
    for item in listing.items:
        reader.read(item.meta, item.spec, False)
    return reader.build_answer(listing.at_rev, listing.has_more)


def read_changes_in_steps(kind: StateKind, body: bytes) -> Steps[ReadAnswer]:
    """Reads the answer to a watch.

    Raises:
        AnswerError: If the answer has another shape. Objects that are not used do not raise.
    """
    reader = _ObjectReader(kind)
    try:
        watched = _decode_watched(body)
    except DECODER_FAILURES:
        members = yield from _split_answer(body)
        frame = _decode_frame(members, _WatchedFrame)
        events = yield from _split_array(members.get("events", b""))
        for event in events:
            yield from reader.read_separated_event(event)
        return reader.build_answer(frame.at_rev)
    for event in watched.events:
        reader.read(event.object.meta, event.object.spec, event.removed)
    return reader.build_answer(watched.at_rev)


class _ObjectReader:
    """Collects the changes and the refusals of one answer.

    Args:
        kind: Kind of the objects.
    """

    __slots__ = ("_changes", "_kind", "_refused")

    def __init__(self, kind: StateKind) -> None:
        self._kind = kind
        self._changes: list[StateChange] = []
        self._refused: list[RefusedObject] = []

    def build_answer(self, revision: int, has_more: bool = False) -> ReadAnswer:
        """Returns what was read."""
        return ReadAnswer(tuple(self._changes), tuple(self._refused), revision, has_more)

    def read(self, meta: _Meta, spec: msgspec.Raw | bytes, is_removed: bool) -> None:
        """Reads an object whose name is known."""
        if is_removed:
            # What a removed object held has no meaning.
            self._changes.append(StateChange(meta.name, None))
            return
        try:
            record = decode_record(self._kind, meta.name, spec)
        except ObjectShapeError as error:
            self._refuse(meta.name, meta.revision, str(error))
            return
        self._drop_superseded(meta.name, record)
        self._changes.append(StateChange(meta.name, record))

    def _drop_superseded(self, name: str, record: StateRecord | None) -> None:
        """Drops the version of the configuration before a newer one.

        An answer may hold all versions of a storm of changes. Each takes many times its size in the
        answer once it is decoded, so two are held at a time.
        """
        if not self._changes or not isinstance(record, RoutingConfiguration):
            return
        last = self._changes[-1]
        if last.name != name or not isinstance(last.record, RoutingConfiguration):
            return
        if record.is_newer_than(last.record):
            self._changes.pop()

    def read_separated_event(self, event: bytes) -> Steps[None]:
        """Reads an event that the scanner has separated."""
        yield
        try:
            decoded = _decode_event(event)
        except DECODER_FAILURES:
            yield from self._read_event_members(event)
            return
        self.read(decoded.object.meta, decoded.object.spec, decoded.removed)

    def _read_event_members(self, event: bytes) -> Steps[None]:
        try:
            members = yield from _split_object(event)
            is_removed = _decode_bool(members.get("removed", b"false"))
        except (AnswerError, *DECODER_FAILURES) as error:
            self._refuse("", 0, f"event: {error}")
            return
        yield from self.read_separated(members.get("object", b"null"), is_removed)

    def read_separated(self, item: bytes, is_removed: bool) -> Steps[None]:
        """Reads an object that the scanner has separated."""
        yield
        try:
            decoded = _decode_object(item)
        except DECODER_FAILURES:
            yield from self._read_members(item, is_removed)
            return
        self.read(decoded.meta, decoded.spec, is_removed)

    def _read_members(self, item: bytes, is_removed: bool) -> Steps[None]:
        """Reads an object from what of its members can be decoded."""
        try:
            members = yield from _split_object(item)
            meta_bytes = members.get("meta", b"null")
            name = _decode_name(meta_bytes).name
        except (AnswerError, *DECODER_FAILURES) as error:
            self._refuse("", 0, f"meta: {error}")
            return
        try:
            meta = _decode_meta(meta_bytes)
        except DECODER_FAILURES as error:
            if not is_removed:
                self._refuse(name, 0, f"meta: {error}")
                return
            meta = _Meta(name)
        self.read(meta, members.get("spec", b"null"), is_removed)

    def _refuse(self, name: str, revision: int, reason: str) -> None:
        self._refused.append(RefusedObject(self._kind, name, revision, reason[:_REASON_MAX]))
        if name:
            self._changes.append(StateChange(name, None, is_unreadable=True))


def _split_answer(body: bytes) -> Steps[dict[str, bytes]]:
    try:
        return (yield from _split_object(body))
    except DECODER_FAILURES as error:
        raise AnswerError(f"answer cannot be read: {error}") from error


def _decode_frame(members: dict[str, bytes], shape: type[_Frame]) -> _Frame:
    """Decodes the members of an answer that are no objects of the store."""
    fields = {
        name: msgspec.Raw(members[name]) for name in shape.__struct_fields__ if name in members
    }
    try:
        return msgspec.json.decode(msgspec.json.encode(fields), type=shape)
    except DECODER_FAILURES as error:
        raise AnswerError(f"answer cannot be read: {error}") from error


def _split_object(value: bytes) -> Steps[dict[str, bytes]]:
    """Returns the members of a JSON object, not decoded; of equal keys the last one.

    Raises:
        AnswerError: If the value is not an object whose strings and brackets match.
        ValueError: If a key is not valid; also any other of DECODER_FAILURES.
    """
    members: dict[str, bytes] = {}
    elements = yield from _split_elements(value, b"{")
    for member in elements:
        key = _KEY.match(member)
        if key is None:
            raise AnswerError("a member of an object has no key")
        rest = member[key.end() :].lstrip()
        if not rest.startswith(b":"):
            raise AnswerError("a member of an object has no value")
        members[_decode_key(key.group())] = rest[1:].strip()
    return members


def _split_array(value: bytes) -> Steps[list[bytes]]:
    """Returns the elements of a JSON array, not decoded.

    Raises:
        AnswerError: If the value is not an array whose strings and brackets match.
    """
    return (yield from _split_elements(value, b"["))


def _split_elements(value: bytes, opening: bytes) -> Steps[list[bytes]]:
    """Returns the parts between the commas of the outermost level of an array or object."""
    value = value.strip()
    if not value.startswith(opening):
        raise AnswerError(f"expected {opening.decode()!r}")
    elements = []
    start = position = 1
    tokens = 0
    while token := _TOKEN.match(value, position):
        tokens += 1
        if tokens % _STEP_TOKENS == 0:
            yield
        char = value[position]
        if char in _CLOSING:
            break
        if char in _OPENING:
            position = yield from _skip_nested(value, position)
            continue
        if char == _COMMA:
            elements.append(value[start:position].strip())
            start = position + 1
        is_long_string = char == _QUOTE and token.end() == position + 1
        position = (yield from _skip_string(value, position)) if is_long_string else token.end()
    if position != len(value) - 1:
        raise AnswerError("answer is incomplete")
    last = value[start:position].strip()
    if last or elements:
        elements.append(last)
    return elements


def _skip_nested(value: bytes, start: int) -> Steps[int]:
    """Returns the position after the bracket that closes the one at `start`."""
    depth = 1
    tokens = 0
    position = start + 1
    while position < len(value):
        for token in _NESTED_TOKEN.finditer(value, position):
            tokens += 1
            if tokens % _STEP_TOKENS == 0:
                yield
            begin, position = token.span()
            char = value[begin]
            if token.lastgroup:  # Pairs leave the depth as it is.
                continue
            if char in _CLOSING:
                if position - begin >= depth:
                    return begin + depth
                depth -= position - begin
            elif char in _OPENING:
                depth += position - begin
            elif char == _QUOTE and position - begin == 1:
                position = yield from _skip_string(value, begin)
                break
    raise AnswerError("answer is incomplete")


def _skip_string(value: bytes, start: int) -> Steps[int]:
    """Returns the position after the quote that ends the string at `start`."""
    position = start + 1
    parts = 0
    while part := _STRING_PART.match(value, position):
        parts += 1
        if parts % _STEP_TOKENS == 0:
            yield
        position = part.end()
    if value[position : position + 1] != b'"':
        raise AnswerError("answer is incomplete")
    return position + 1
