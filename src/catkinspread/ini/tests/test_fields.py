"""Errors of settings files."""

import pytest

from catkinspread.ini import (
    Field,
    SettingsError,
    parse_choice,
    parse_ini,
    parse_number,
    read_fields,
)

SECRET = "opensesame"
FIELDS = [Field("keys", "client_secret", str)]


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (f"[keys]\nclient_secrett = {SECRET}\n", "client_secrett"),
        (f"[keys]\nclient_secret {SECRET}\n", "line 2"),
        (f"client_secret = {SECRET}\n[keys]\n", "line 1"),
        (f"[keys]\nclient_secret = a\nclient_secret = {SECRET}\n", "[line 3]"),
    ],
    ids=["unknown key", "no equals sign", "no section", "duplicate"],
)
def test_error_names_the_place_and_hides_the_value(text: str, place: str) -> None:
    """Guards against a secret in an error message because its key or line is mistyped."""
    with pytest.raises(SettingsError) as raised:
        read_fields("one.ini", parse_ini("one.ini", text), FIELDS)
    message = str(raised.value)
    assert place in message
    assert "one.ini" in message
    assert SECRET not in message
    assert raised.value.__cause__ is None


@pytest.mark.parametrize(("text", "number"), [("0", 0.0), ("0.02", 0.02), ("2", 2.0), ("-0", 0.0)])
def test_reads_decimal_numbers(text: str, number: float) -> None:
    """Guards against a number that is valid but refused."""
    assert parse_number(0, 2)(text) == number


@pytest.mark.parametrize(
    "text", ["", "2.1", "-1", "nan", "inf", "1e0", ".5", "1.", "1_0", "\u0661", "9" * 5_000]
)
def test_refuses_other_numbers(text: str) -> None:
    """Guards against texts that Python reads as numbers, but that nobody writes on purpose."""
    with pytest.raises(ValueError, match="expected a number from 0 to 2"):
        parse_number(0, 2)(text)


def test_choice_names_the_choices() -> None:
    """Guards against a mistyped word that is taken for the default."""
    assert parse_choice("auto", "off")("off") == "off"
    with pytest.raises(ValueError, match="expected auto, off, found 'of'"):
        parse_choice("auto", "off")("of")
