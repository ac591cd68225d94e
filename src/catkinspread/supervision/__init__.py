"""Supervision of the parts of a program: what fails is logged, counted and run again."""

from catkinspread.supervision.back_off import BackOff
from catkinspread.supervision.errors import ErrorDescription, describe_error, list_leaf_errors
from catkinspread.supervision.failures import FailureLog, PartState
from catkinspread.supervision.supervisor import Part, RequiredPartFailed, Supervisor

__all__ = [
    "BackOff",
    "ErrorDescription",
    "FailureLog",
    "Part",
    "PartState",
    "RequiredPartFailed",
    "Supervisor",
    "describe_error",
    "list_leaf_errors",
]
