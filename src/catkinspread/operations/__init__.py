"""The operators' language: commands, queries, access, audit and the service that runs them."""

from catkinspread.operations.access import (
    OPERATOR_ROLE,
    AccessList,
    Grant,
    hash_token,
    read_access_list,
)
from catkinspread.operations.audit import ChainReport, Change, verify_chain
from catkinspread.operations.commands import Command, CommandStatement
from catkinspread.operations.compiler import compile_command, compile_next_step
from catkinspread.operations.context import (
    ENDPOINT_QUARANTINE_MS,
    CompileContext,
    RemovedEndpoint,
    note_removals,
)
from catkinspread.operations.errors import (
    ChangeUnconfirmed,
    Forbidden,
    InvalidChange,
    LogDamaged,
    OperationsError,
    PlatformUnavailable,
    SyntaxProblem,
    Unauthorised,
    UnknownName,
    VersionChanged,
)
from catkinspread.operations.fleet import FleetSource, RecordLine
from catkinspread.operations.moves import References, count_references
from catkinspread.operations.owners import choose_owner_group
from catkinspread.operations.parser import Statement, parse_statement
from catkinspread.operations.queries import Query
from catkinspread.operations.refusals import Refusal, RefusalBatch, RefusalLog
from catkinspread.operations.removals import find_completed_removals
from catkinspread.operations.replies import (
    Reply,
    render_error,
    render_error_json,
    render_json,
    render_table,
)
from catkinspread.operations.service import OperationsService

__all__ = [
    "ENDPOINT_QUARANTINE_MS",
    "OPERATOR_ROLE",
    "AccessList",
    "ChainReport",
    "Change",
    "ChangeUnconfirmed",
    "Command",
    "CommandStatement",
    "CompileContext",
    "FleetSource",
    "Forbidden",
    "Grant",
    "InvalidChange",
    "LogDamaged",
    "OperationsError",
    "OperationsService",
    "PlatformUnavailable",
    "Query",
    "RecordLine",
    "References",
    "Refusal",
    "RefusalBatch",
    "RefusalLog",
    "RemovedEndpoint",
    "Reply",
    "Statement",
    "SyntaxProblem",
    "Unauthorised",
    "UnknownName",
    "VersionChanged",
    "choose_owner_group",
    "compile_command",
    "compile_next_step",
    "count_references",
    "find_completed_removals",
    "hash_token",
    "note_removals",
    "parse_statement",
    "read_access_list",
    "render_error",
    "render_error_json",
    "render_json",
    "render_table",
    "verify_chain",
]
