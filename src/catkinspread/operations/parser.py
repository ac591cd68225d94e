"""Parses statements of the operators' language; the grammar is in `grammar.lark`."""

import ipaddress
from importlib import resources

from expression import Error, Ok, Result
from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken, VisitError

from catkinspread.model import Endpoint
from catkinspread.operations import commands, queries
from catkinspread.operations.errors import OperationsError, SyntaxProblem, find_nearest

Statement = commands.CommandStatement | queries.Query

TEXT_MAX_CHARACTERS = 4_096
NAME_MAX_CHARACTERS = 63
REASON_MAX_CHARACTERS = 500
VERSION_MAX = 999_999_999_999

_VALUE_TERMINALS = {
    "NAME": "a name of lower-case letters, digits and hyphens",
    "ACTOR": "the name of an operator or instance",
    "NUMBER": "a number",
    "ADDRESS": "an address such as 192.0.2.1:7000",
    "REQUEST_ID": "the id of a request",
    "TEXT": "a text in double quotes",
    "$END": "the end",
    "<END-OF-FILE>": "the end",
}

# Smallest and largest value by option; the field is that of `AddUpstream` or `CreateService`.
_OPTIONS = {
    "PRIORITY": ("priority", 0, 2),
    "WEIGHT": ("weight", 0, 10_000),
    "SLOTS": ("work_slots", 1, 10_000),
    "CONNECTIONS": ("connections_max", 1, 1_000_000),
    "COLD_RATE": ("cold_rate_per_s", 1, 1_000_000),
    "WARM_RATE": ("warm_rate_per_s", 1, 1_000_000),
    "WARMUP_MS": ("warmup_ms", 0, 86_400_000),
}


class _InvalidValue(Exception):
    """A token has the right form but a value that is not allowed."""

    def __init__(self, column: int, message: str) -> None:
        super().__init__(message)
        self.column = column


def parse_statement(text: str) -> Result[Statement, OperationsError]:
    """Returns the statement that a text states.

    Args:
        text: One statement; white space separates words.
    """
    if len(text) > TEXT_MAX_CHARACTERS:
        message = f"statement has {len(text)} characters, at most {TEXT_MAX_CHARACTERS} are allowed"
        return Error(SyntaxProblem(message=message, column=TEXT_MAX_CHARACTERS + 1))
    try:
        return Ok(_Builder().transform(_LARK.parse(text)))
    except UnexpectedInput as error:
        return Error(_describe_input(text, error))
    except VisitError as error:
        if not isinstance(error.orig_exc, _InvalidValue):
            raise
        invalid = error.orig_exc
        message = f"column {invalid.column}: {invalid}"
        return Error(SyntaxProblem(message=message, column=invalid.column))


def _describe_input(text: str, error: UnexpectedInput) -> SyntaxProblem:
    column = len(text) + 1
    expected: set[str] = set()
    if isinstance(error, UnexpectedCharacters):
        column, expected = error.pos_in_stream + 1, set(error.allowed or ())
    elif isinstance(error, UnexpectedToken):
        expected = set(error.expected)
        if error.token.type != "$END":
            column = error.token.start_pos + 1
    names = tuple(sorted(_describe_terminal(terminal) for terminal in expected))
    words = text[column - 1 :].split()
    found = repr(words[0][:NAME_MAX_CHARACTERS]) if words else "the end"
    keywords = [_describe_terminal(name) for name in expected if name not in _VALUE_TERMINALS]
    nearest = find_nearest(words[0], keywords) if words and keywords else ""
    hint = f"; did you mean {nearest!r}?" if nearest else ""
    message = f"column {column}: found {found}, expected {_join_names(names)}{hint}"
    return SyntaxProblem(message=message, column=column, expected=names)


def _join_names(names: tuple[str, ...]) -> str:
    return f"one of {', '.join(names)}" if len(names) > 2 else " or ".join(names)


def _describe_terminal(terminal: str) -> str:
    return _VALUE_TERMINALS.get(terminal) or terminal.lower().replace("_", "-")


def _column(token: Token) -> int:
    return token.start_pos + 1


def _parse_name(token: Token) -> str:
    if len(token) > NAME_MAX_CHARACTERS:
        raise _InvalidValue(
            _column(token),
            f"name has {len(token)} characters, at most {NAME_MAX_CHARACTERS} are allowed",
        )
    return str(token)


def _parse_number(token: Token, least: int, greatest: int) -> int:
    # The length is compared first: converting a very long number is slow or refused.
    digits = token.lstrip("0") or "0"
    if len(digits) > len(str(greatest)) or not least <= int(digits) <= greatest:
        raise _InvalidValue(_column(token), f"number is not between {least} and {greatest}")
    return int(digits)


def _parse_address(token: Token) -> Endpoint:
    host, _, port = token.rpartition(":")
    try:
        host = str(ipaddress.IPv4Address(host))
    except ValueError:
        raise _InvalidValue(_column(token), f"{host[:40]!r} is not an IPv4 address") from None
    digits = port.lstrip("0")
    if not digits or len(digits) > 5 or int(digits) > 65_535:
        raise _InvalidValue(_column(token), "port is not between 1 and 65535")
    return Endpoint(host, int(digits))


def _parse_reason(token: Token) -> str:
    reason = token[1:-1]
    if len(reason) > REASON_MAX_CHARACTERS:
        raise _InvalidValue(
            _column(token),
            f"reason has {len(reason)} characters, at most {REASON_MAX_CHARACTERS} are allowed",
        )
    if not reason.isprintable():
        raise _InvalidValue(_column(token), "reason contains a control character")
    return reason


class _Builder(Transformer):
    """Builds typed statements from the parse tree; one method per rule of the grammar."""

    def start(self, children):
        return children[0]

    def command_statement(self, children):
        command, *modifiers = children
        return commands.CommandStatement(command, **_collect(modifiers))

    def if_version(self, children):
        return children[0], "if_version", _parse_number(children[2], 0, VERSION_MAX)

    def dry_run(self, children):
        return children[0], "is_dry_run", True

    def because(self, children):
        return children[0], "reason", _parse_reason(children[1])

    def create_data_centre(self, children):
        return commands.CreateDataCentre(_parse_name(children[2]), _parse_name(children[4]))

    def create_service(self, children):
        name, address = _parse_name(children[2]), _parse_address(children[4])
        return commands.CreateService(name, address, **_collect(children[5:]))

    def service_option(self, children):
        if children[0].type == "TEAM":
            return children[0], "team", _parse_name(children[1])
        return self.upstream_option(children)

    def add_upstream(self, children):
        name, service, data_centre = (_parse_name(children[i]) for i in (2, 4, 6))
        endpoint = _parse_address(children[8])
        options = _collect(children[9:])
        return commands.AddUpstream(name, service, data_centre, endpoint, **options)

    def upstream_option(self, children):
        field, least, greatest = _OPTIONS[children[0].type]
        return children[0], field, _parse_number(children[1], least, greatest)

    def drain_upstream(self, children):
        return commands.DrainUpstream(_parse_name(children[2]))

    def undrain_upstream(self, children):
        return commands.UndrainUpstream(_parse_name(children[2]))

    def remove_upstream(self, children):
        return commands.RemoveUpstream(_parse_name(children[2]))

    def take_out_data_centre(self, children):
        return commands.TakeOutDataCentre(_parse_name(children[3]))

    def bring_back_data_centre(self, children):
        return commands.BringBackDataCentre(_parse_name(children[3]))

    def set_weight(self, children):
        _, least, greatest = _OPTIONS["WEIGHT"]
        weight = _parse_number(children[5], least, greatest)
        return commands.SetWeight(_parse_name(children[3]), weight)

    def plan(self, children):
        return queries.PlanCommand(children[1])

    def show_services(self, _):
        return queries.ShowServices()

    def show_data_centres(self, _):
        return queries.ShowDataCentres()

    def show_upstreams(self, children):
        return queries.ShowUpstreams(_parse_name(children[3]))

    def show_draining(self, _):
        return queries.ShowDraining()

    def show_versions(self, _):
        return queries.ShowVersions()

    def show_flow(self, children):
        return queries.ShowFlow(_parse_name(children[2]), _parse_address(children[4]))

    def show_request(self, children):
        return queries.ShowRequest(str(children[2]), _parse_name(children[4]))

    def show_changes(self, children):
        return queries.ShowChanges(**_collect(children[2:]))

    def of_object(self, children):
        _, kind, name = children
        return children[0], "of_object", queries.ObjectName(kind, _parse_name(name))

    def by_actor(self, children):
        return children[0], "by_actor", str(children[1])

    def since_version(self, children):
        return children[0], "since_version", _parse_number(children[2], 0, VERSION_MAX)

    def object_kind(self, children):
        return str(children[0])

    def show_refusals(self, _):
        return queries.ShowRefusals()

    def verify_changes(self, _):
        return queries.VerifyChanges()


def _collect(options: list) -> dict[str, object]:
    collected: dict[str, object] = {}
    for token, field, value in options:
        if field in collected:
            raise _InvalidValue(_column(token), f"{str(token)!r} is stated twice")
        collected[field] = value
    return collected


_LARK = Lark(
    resources.files("catkinspread.operations").joinpath("grammar.lark").read_text("utf-8"),
    parser="lalr",
    maybe_placeholders=False,
)
