"""Tests of the operators' language."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.model import Endpoint
from catkinspread.operations import OperationsError, parse_statement
from catkinspread.operations.commands import AddUpstream, CommandStatement, DrainUpstream
from catkinspread.operations.queries import ObjectName, PlanCommand, ShowChanges
from catkinspread.operations.tests.fakes import SETUP, STATEMENTS


def test_modifiers_and_options_reach_the_statement():
    """Guards against a condition or reason that is parsed but not kept."""
    statement = parse_statement('drain upstream c1 because "it is  slow" dry run if version 7').ok
    expected = CommandStatement(DrainUpstream("c1"), 7, is_dry_run=True, reason="it is  slow")
    assert statement == expected
    text = "plan add upstream c8 to catalogue in brum at 10.0.0.1:7000 warmup-ms 5 weight 3"
    expected = AddUpstream("c8", "catalogue", "brum", Endpoint("10.0.0.1", 7000), 3, warmup_ms=5)
    assert parse_statement(text).ok == PlanCommand(expected)
    text = "show changes by instance/brum-1 since version 3 of data-centre brum"
    expected = ShowChanges(ObjectName("data-centre", "brum"), "instance/brum-1", 3)
    assert parse_statement(text).ok == expected


@pytest.mark.parametrize(
    ("text", "column", "part"),
    [
        ("", 1, "drain"),
        ("drian upstream c1", 1, "did you mean 'drain'?"),
        ("drain upstream", 15, "expected a name"),
        ("drain   upstrem c1", 9, "found 'upstrem', expected upstream"),
        ("drainupstream c1", 1, "found 'drainupstream'"),
        ("drain upstream c1 dry", 22, "expected run"),
        ("drain upstream c1 dry run dry run", 27, "stated twice"),
        ("drain upstream c1 if version 1.5", 30, "expected a number"),
        ("drain upstream C1", 16, "found 'C1'"),
        ("drain upstream " + "a" * 64, 16, "64 characters"),
        ('drain upstream c1 because "a', 27, "a text in double quotes"),
        ('drain upstream c1 because "a\x1b[2J"', 27, "control character"),
        ("set weight of c1 to " + "9" * 4000, 21, "not between 0 and 10000"),
        ("create service s at 300.0.0.1:7", 21, "not an IPv4 address"),
        ("create service s at 10.0.0.1:65536", 21, "port is not between"),
        ("show services now", 15, "expected the end"),
    ],
)
def test_fault_is_reported_at_its_column(text, column, part):
    """Guards against messages that leave the operator to search for the fault."""
    error = parse_statement(text).error
    assert error.column == column
    assert part in error.message


_WORDS = st.sampled_from(
    [word for text in (*SETUP, *STATEMENTS) for word in text.split()]
    + ["-1", "9" * 5_000, '"', '"a"', "\x00", "\ud800", "１", "1.2.3.4:٣", "é"]
)


@settings(derandomize=True, max_examples=1_000, deadline=None)
@given(st.one_of(st.text(), st.lists(_WORDS).map(" ".join)))
def test_random_text_gives_a_statement_or_an_error(text):
    """Guards against text that raises in the process that serves the operators."""
    result = parse_statement(text)
    assert result.is_ok() or isinstance(result.error, OperationsError)
