"""The subcommands `query` and `command`, which send statements to the admin API."""

import argparse
import os
import pathlib
import sys

import httpx

from catkinspread.console.registry import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, register_subcommand
from catkinspread.instance import STATEMENT_PATH

ADMIN_VARIABLE = "CATKINSPREAD_ADMIN"
TOKEN_VARIABLE = "CATKINSPREAD_TOKEN"
_TIMEOUT_S = 20.0


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "statement", nargs="?", help="statement; - or none reads one per line from standard input"
    )
    parser.add_argument(
        "--admin",
        default=os.environ.get(ADMIN_VARIABLE, ""),
        help=f"admin address of an instance as IP:PORT (default: the variable {ADMIN_VARIABLE})",
    )
    parser.add_argument("--file", type=pathlib.Path, help="file with one statement per line")
    parser.add_argument(
        "--token-file",
        type=pathlib.Path,
        help=f"file with the access token (default: the variable {TOKEN_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")


@register_subcommand("query", "send a query to an instance", _configure)
def run_query(arguments: argparse.Namespace) -> int:
    """Sends queries; rejects other statements without sending them.

    Sending stops at the first failure; the remaining statements are not sent.

    Returns:
        EXIT_FAILURE if a file cannot be read, a statement is not a query, or the instance rejects it or
        does not respond; EXIT_USAGE if the admin address or the access token is missing.
    """
    return _send_statements(arguments, is_command=False)


@register_subcommand("command", "send a command to an instance", _configure)
def run_command(arguments: argparse.Namespace) -> int:
    """Sends commands; rejects queries without sending them.

    Sending stops at the first failure; the remaining statements are not sent.

    Returns:
        EXIT_FAILURE if a file cannot be read, a statement is a query, or the instance rejects it or
        does not respond; EXIT_USAGE if the admin address or the access token is missing.
    """
    return _send_statements(arguments, is_command=True)


def _send_statements(arguments: argparse.Namespace, is_command: bool) -> int:
    try:
        statements = _read_statements(arguments)
        token = _read_token(arguments)
    except OSError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_FAILURE
    if not token or not arguments.admin:
        missing = (
            f"--token-file or {TOKEN_VARIABLE}" if not token else f"--admin or {ADMIN_VARIABLE}"
        )
        print(f"error: {missing} is needed", file=sys.stderr)
        return EXIT_USAGE
    with httpx.Client(timeout=_TIMEOUT_S, trust_env=False) as client:
        for statement in statements:
            if _is_command(statement) != is_command:
                kind = "command" if is_command else "query"
                print(f"error: {statement!r} is not a {kind}", file=sys.stderr)
                return EXIT_FAILURE
            if not _send_statement(client, arguments, token, statement):
                return EXIT_FAILURE
    return EXIT_OK


def _send_statement(
    client: httpx.Client, arguments: argparse.Namespace, token: str, statement: str
) -> bool:
    headers = {"Authorization": f"Bearer {token}"}
    if arguments.json:
        headers["Accept"] = "application/json"
    url = f"http://{arguments.admin}{STATEMENT_PATH}"
    try:
        response = client.post(url, content=statement.encode(), headers=headers)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        print(f"error: {arguments.admin} did not respond: {error}", file=sys.stderr)
        return False
    is_ok = response.status_code == httpx.codes.OK
    print(response.text.rstrip("\n"), file=sys.stdout if is_ok else sys.stderr)
    return is_ok


def _read_statements(arguments: argparse.Namespace) -> list[str]:
    if arguments.file is not None:
        text = arguments.file.read_text(encoding="utf-8")
    elif arguments.statement in (None, "-"):
        text = sys.stdin.read()
    else:
        return [arguments.statement]
    return [line for line in text.splitlines() if line.strip()]


def _read_token(arguments: argparse.Namespace) -> str:
    if arguments.token_file is not None:
        return arguments.token_file.read_text(encoding="utf-8").strip()
    return os.environ.get(TOKEN_VARIABLE, "")


def _is_command(statement: str) -> bool:
    # Queries of the grammar start with one of these words; all other statements are commands. The list
    # is empty for an empty statement.
    first_word = statement.split(maxsplit=1)[:1]
    return first_word not in (["show"], ["plan"], ["verify"])
