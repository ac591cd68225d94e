"""Tests of reading and validating the settings of an instance."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinspread.settings import SettingsError, load_instance_settings

KEY = "k" * 40
VALID = f"""
[instance]
name = khomas-1-a
data_centre = khomas-1
region = khomas
fabric_address = 127.0.0.1:20000
fabric_return_address = 127.0.0.1:19999
upstream_address = 127.0.0.1:20001
peer_address = 127.0.0.1:20002
admin_address = 127.0.0.1:20003
metrics_address = 127.0.0.1:20004
[platform]
url = http://127.0.0.1:8300
[peers]
seeds = khomas-1-b@127.0.0.1:20102
[keys]
server_public = {KEY}
server_secret = {KEY}
client_public = {KEY}
client_secret = {KEY}
accepted_public = {KEY}
"""


def load(tmp_path, text):
    path = tmp_path / "a.ini"
    path.write_text(text)
    return load_instance_settings(path)


def test_valid_file_gets_typed_values_and_defaults(tmp_path):
    """Guards against values that differ from the file or from the documented defaults."""
    loaded = load(tmp_path, VALID).ok
    assert loaded.fabric_address.port == 20000
    assert loaded.seeds[0].name == "khomas-1-b"
    assert loaded.drain_timeout_ms == 30_000


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("data_centre = khomas-1\n", "", "[instance] data_centre: missing required key"),
        ("region =", "regoin =", "did you mean 'region'?"),
        ("[platform]", "[platfrom]", "did you mean 'platform'?"),
        ("127.0.0.1:20000", "localhost:20000", "expected IP:PORT with an IP address"),
        ("127.0.0.1:20000", "127.0.0.1:70000", "expected a port from 1 to 65535, found '70000'"),
        (
            "127.0.0.1:20001",
            "127.0.0.1:20000",
            "upstream_address = 127.0.0.1:20000: must differ from fabric_address",
        ),
        ("name = khomas-1-a", "name = khomas-1-a\nflows_max = 0", "from 1 to 10000000"),
        ("[keys]", "[keys", "Source contains parsing errors"),
    ],
)
def test_each_problem_is_reported_with_its_location(tmp_path, old, new, expected):
    """Guards against an invalid setting that is accepted or reported without its location."""
    error = load(tmp_path, VALID.replace(old, new, 1)).error
    assert isinstance(error, SettingsError)
    assert expected in str(error)
    assert "a.ini" in str(error)


def test_all_problems_are_reported_together_and_secrets_are_hidden(tmp_path):
    """Guards against reporting only the first problem, and against secrets in error messages."""
    text = VALID.replace(f"client_secret = {KEY}", "client_secret = opensesame")
    text = text.replace("region = khomas\n", "")
    error = load(tmp_path, text).error
    assert len(error.problems) == 2
    assert "opensesame" not in str(error)


@settings(derandomize=True, max_examples=100)
@given(st.text(max_size=200))
def test_arbitrary_text_returns_an_error(tmp_path_factory, text):
    """Guards against a malformed settings file that raises an exception."""
    path = tmp_path_factory.mktemp("settings") / "a.ini"
    path.write_text(text, encoding="utf-8")
    assert isinstance(load_instance_settings(path).error, SettingsError)
