"""Tokens of upstreams, the same on all instances also where two names have the same hash."""

from typing import Generic, Protocol, TypeVar

from catkinspread.hashing import hash_text

# The token field of packets has 32 bits; the two highest ones tell the stage of the handshake.
TOKEN_BITS = 30
TOKEN_MAX = (1 << TOKEN_BITS) - 1
# Until a flow is open, its token field also holds a time, and these bits of the token. Of 7,000
# upstreams, about 12 share them with another one.
SHORT_TOKEN_BITS = 22
SHORT_TOKEN_MAX = (1 << SHORT_TOKEN_BITS) - 1
_ALTERNATIVE_SUFFIX = "#2"


class TokenHolder(Protocol):
    """What a token stands for.

    Attributes:
        token: Token that is written into packets; set by the table.
    """

    token: int

    @property
    def name(self) -> str:
        """Name that the tokens are computed from."""

    @property
    def born_ms(self) -> int:
        """When its process started."""


_Holder = TypeVar("_Holder", bound=TokenHolder)


def compute_token(name: str) -> int:
    """Returns the 30-bit number that identifies an upstream in the packets of a flow.

    It depends on the name alone, so all instances compute the same token. 0 means no upstream. Two
    names can have the same token; `TokenTable` tells their upstreams apart.
    """
    return hash_text(name) & TOKEN_MAX or 1


class TokenTable(Generic[_Holder]):
    """Finds upstreams by their tokens.

    Among upstreams whose names have the same token, the one that was born first keeps it and the
    others use an alternative token. So the flows of an upstream stay with it when another one with
    its token is added. All instances that know the same upstreams agree.
    """

    __slots__ = ("_alternatives", "_by_short_token", "_holders")

    def __init__(self) -> None:
        self._holders: dict[int, list[_Holder]] = {}
        self._alternatives: dict[int, _Holder] = {}
        # Upstreams by the short form of both tokens that each may use.
        self._by_short_token: dict[int, list[_Holder]] = {}

    def find(self, token: int) -> _Holder | None:
        """Returns the upstream with a token; None if there is none."""
        holders = self._holders.get(token)
        return holders[0] if holders else self._alternatives.get(token)

    def find_by_short_token(self, short_token: int) -> _Holder | None:
        """Returns the upstream whose token has the given lowest SHORT_TOKEN_BITS bits.

        Returns None if there is none or more than one.
        """
        found = [
            holder
            for holder in self._by_short_token.get(short_token, ())
            if holder.token & SHORT_TOKEN_MAX == short_token
        ]
        return found[0] if len(found) == 1 else None

    def add(self, holder: _Holder) -> None:
        """Adds an upstream and sets its token, and those of others with the same hash."""
        holders = self._holders.setdefault(compute_token(holder.name), [])
        holders.append(holder)
        self._alternatives[_compute_alternative(holder.name)] = holder
        for short_token in _list_short_tokens(holder.name):
            self._by_short_token.setdefault(short_token, []).append(holder)
        _assign(holders)

    def update(self, holder: _Holder) -> None:
        """Sets the tokens again after an upstream was started again."""
        _assign(self._holders[compute_token(holder.name)])

    def remove(self, holder: _Holder) -> None:
        """Removes an upstream."""
        token = compute_token(holder.name)
        holders = self._holders[token]
        holders.remove(holder)
        if not holders:
            del self._holders[token]
        for short_token in _list_short_tokens(holder.name):
            self._by_short_token[short_token].remove(holder)
            if not self._by_short_token[short_token]:
                del self._by_short_token[short_token]
        alternative = _compute_alternative(holder.name)
        if self._alternatives.get(alternative) is holder:
            del self._alternatives[alternative]


def _compute_alternative(name: str) -> int:
    return compute_token(name + _ALTERNATIVE_SUFFIX)


def _list_short_tokens(name: str) -> set[int]:
    """Returns the short forms of both tokens that a name may have."""
    return {compute_token(name) & SHORT_TOKEN_MAX, _compute_alternative(name) & SHORT_TOKEN_MAX}


def _assign(holders: list[_Holder]) -> None:
    if len(holders) > 1:
        holders.sort(key=lambda holder: (holder.born_ms, holder.name))
    for position, holder in enumerate(holders):
        name = holder.name
        holder.token = _compute_alternative(name) if position else compute_token(name)
