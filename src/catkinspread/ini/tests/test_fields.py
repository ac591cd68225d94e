"""Errors of settings files."""

import pytest

from catkinspread.ini import Field, SettingsError, parse_ini, read_fields

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
