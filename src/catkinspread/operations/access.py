"""Tokens, teams and roles: who may state what.

The settings hold the SHA-256 of each token, never the token itself.
"""

import configparser
import hashlib
import string

import msgspec
from expression import Error, Ok, Result

from catkinspread.ini import format_suggestion
from catkinspread.model import Configuration
from catkinspread.operations import commands
from catkinspread.operations.errors import Forbidden, InvalidChange, OperationsError
from catkinspread.settings import TOKEN_SECTION_PREFIX

OPERATOR_ROLE = "operator"
_HASH_DIGITS = 64
_TOKEN_KEYS = ("roles", "sha256", "team")


class Grant(msgspec.Struct, frozen=True):
    """What a token allows.

    Attributes:
        actor: Name of the operator who holds the token.
        team: Team of the operator.
        roles: Further rights, such as "operator" for data centres.
    """

    actor: str
    team: str
    roles: frozenset[str] = frozenset()


class AccessList:
    """Finds the grant of a token.

    The argument is the grant by the hash that `hash_token` returns.
    """

    __slots__ = ("_grants",)

    def __init__(self, grants: dict[str, Grant]) -> None:
        self._grants = dict(grants)

    def find_grant(self, token: str) -> Grant | None:
        """Returns the grant of a token, or None if the token is not known."""
        return self._grants.get(hash_token(token))


def hash_token(token: str) -> str:
    """Returns the SHA-256 of a token in hexadecimal digits."""
    return hashlib.sha256(token.encode(errors="surrogatepass")).hexdigest()


def read_access_list(parser: configparser.ConfigParser) -> Result[AccessList, OperationsError]:
    """Reads the tokens of the settings.

    A section `[token NAME]` has the keys `sha256`, `team` and optionally `roles`, a list
    separated by spaces.

    Args:
        parser: The settings; other sections are ignored.
    """
    grants: dict[str, Grant] = {}
    for section in parser.sections():
        if not section.startswith(TOKEN_SECTION_PREFIX):
            continue
        for key in parser[section]:
            if key not in _TOKEN_KEYS:
                return _report(
                    f"[{section}] {key}: unknown key{format_suggestion(key, list(_TOKEN_KEYS))}"
                )
        digest = parser.get(section, "sha256", fallback="").strip().lower()
        team = parser.get(section, "team", fallback="").strip()
        if len(digest) != _HASH_DIGITS or set(digest) - set(string.hexdigits):
            return _report(f"[{section}] sha256 is not {_HASH_DIGITS} hexadecimal digits")
        if not team:
            return _report(f"[{section}] team is missing")
        if digest in grants:
            return _report(f"[{section}] has the token of {grants[digest].actor!r}")
        roles = frozenset(parser.get(section, "roles", fallback="").split())
        if roles - {OPERATOR_ROLE}:
            return _report(f"[{section}] roles has other roles than {OPERATOR_ROLE!r}")
        grants[digest] = Grant(section.removeprefix(TOKEN_SECTION_PREFIX).strip(), team, roles)
    return Ok(AccessList(grants))


def _report(message: str) -> Result[AccessList, OperationsError]:
    return Error(InvalidChange(message=message))


def check_command(
    grant: Grant, command: commands.Command, configuration: Configuration
) -> OperationsError | None:
    """Returns why a grant does not allow a command, or None if it does.

    A command on an object that does not exist is allowed here; the compiler refuses it.
    """
    match command:
        case commands.CreateDataCentre() | commands.TakeOutDataCentre():
            return check_operator(grant)
        case commands.BringBackDataCentre():
            return check_operator(grant)
        case commands.CreateService(team=team):
            return _check_team(grant, team or grant.team, "services for it")
        case commands.AddUpstream(service=service):
            return check_service(grant, service, configuration)
        case _:
            upstream = configuration.upstreams.get(command.name)
            return upstream and check_service(grant, upstream.service, configuration)


def check_service(
    grant: Grant, service: str, configuration: Configuration
) -> OperationsError | None:
    """Returns why a grant does not reach into a service, or None if it does."""
    found = configuration.services.get(service)
    return found and _check_team(grant, found.team, f"service {service!r}")


def check_operator(grant: Grant) -> OperationsError | None:
    """Returns why a grant lacks the operator role, or None if it has it."""
    if OPERATOR_ROLE in grant.roles:
        return None
    message = f"{grant.actor!r} does not have the role {OPERATOR_ROLE!r} that this needs"
    return Forbidden(message=message)


def _check_team(grant: Grant, owner: str, what: str) -> OperationsError | None:
    if grant.team == owner:
        return None
    message = f"only team {owner!r} may work on {what}; {grant.actor!r} is in team {grant.team!r}"
    return Forbidden(message=message)
