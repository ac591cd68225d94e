"""Tests of the settings of a forwarding instance and of the template that the platform fills in."""

import configparser
import pathlib
import re

import pytest

import catkinspread.platform
from catkinspread.admission.settings import AdmissionMode, AdmissionSettings
from catkinspread.ini import SettingsError, parse_ini
from catkinspread.model import Endpoint
from catkinspread.runtime.settings import build_forwarding_settings, read_forwarding_settings

VALID = """
[instance]
name = edge-khomas-a-1
data_centre = khomas-a
is_first_start = true
packet_address = 10.1.0.10:8172
readiness_address = 10.1.0.10:8167
peer_port = 7720
metrics_port = 9464
grace_s = 6
flow_lifetime_max_s = 60

[peers]
seeds = 10.1.0.10:8166,10.2.0.40:8166

[source]
address = 10.200.1.7:8169
heartbeat_ms = 1200
"""


def test_reads_all_fields(tmp_path: pathlib.Path) -> None:
    """Guards against wrong conversion of units between the file and the fields."""
    file = tmp_path / "instance.ini"
    file.write_text(VALID)
    settings = read_forwarding_settings(file)
    assert settings.grace_ms == 6_000
    assert settings.flow_lifetime_max_ms == 60_000
    assert settings.seeds[1] == Endpoint("10.2.0.40", 8166)


def test_instance_may_have_no_seeds() -> None:
    """Guards against refusing to start when the platform leaves the value empty."""
    text = VALID.replace("10.1.0.10:8166,10.2.0.40:8166", "")
    settings = build_forwarding_settings("x.ini", parse_ini("x.ini", text))
    assert settings.seeds == ()


@pytest.mark.parametrize(
    ("before", "after", "place"),
    [
        ("peer_port = 7720", "peer_port = many", "[instance] peer_port = many"),
        ("peer_port = 7720", "", "[instance] peer_port"),
        ("grace_s = 6", "grace_s = soon", "[instance] grace_s = soon"),
        ("heartbeat_ms = 1200", "heartbeat_ms = 0", "[source] heartbeat_ms = 0"),
        ("10.200.1.7:8169", "store:8169", "[source] address = store:8169"),
        (
            "flow_lifetime_max_s = 60",
            "flow_lifetime_max_s = -1",
            "[instance] flow_lifetime_max_s = -1",
        ),
        ("[peers]", "[friends]", "[friends]"),
        ("is_first_start = true", "is_first_start = yes", "[instance] is_first_start = yes"),
    ],
)
def test_error_names_the_invalid_setting(before: str, after: str, place: str) -> None:
    """Guards against an instance that starts with invalid settings."""
    text = VALID.replace(before, after)
    with pytest.raises(SettingsError) as raised:
        build_forwarding_settings("x.ini", parse_ini("x.ini", text))
    assert place in str(raised.value)


def test_template_has_exactly_the_fields_that_are_read() -> None:
    """Guards against a template that no longer matches the settings."""
    template = pathlib.Path(catkinspread.platform.__file__).with_name("settings.ini")
    filled = configparser.ConfigParser(interpolation=None)
    filled.read_string(re.sub(r"\{\{.*?\}\}", "x", template.read_text()))
    expected = parse_ini("x.ini", VALID)
    assert {name: set(filled[name]) for name in filled.sections()} == {
        name: set(expected[name]) for name in expected.sections()
    }


def _read(section: str) -> AdmissionSettings:
    return build_forwarding_settings("x.ini", parse_ini("x.ini", VALID + section)).admission


def test_file_without_admission_has_the_defaults() -> None:
    """Guards against a file of the version before that is refused, or changes what it means."""
    assert _read("") == AdmissionSettings()


def test_reads_the_margins_of_admission() -> None:
    """Guards against a margin that is read into another field."""
    settings = _read(
        "[admission]\nmode = always\nlimit_occupancy = 3.5\nlimit_update_count = 4\n"
        "release_occupancy = 2.25\nrelease_demand_share = 0.8\nrelease_after_ms = 500\n"
        "minimum_share = 0.1\ntrim_lower_occupancy = 4\ntrim_raise_occupancy = 3\n"
        "trim_min = 0.25\ntrim_max = 2\n"
    )
    assert settings == AdmissionSettings(
        AdmissionMode.ALWAYS, 3.5, 4, 2.25, 0.8, 500, 0.1, 4.0, 3.0, 0.25, 2.0
    )


@pytest.mark.parametrize(
    ("line", "place"),
    [
        ("mode = on", "[admission] mode = on: expected auto, always, off"),
        ("limit_occupancy = 0.5", "[admission] limit_occupancy = 0.5: expected a number from 1"),
        ("minimum_share = 2%", "[admission] minimum_share = 2%"),
        ("release_after_ms = 1s", "[admission] release_after_ms = 1s"),
        ("trim_min = 0", "[admission] trim_min = 0"),
        ("minimum = 0.1", "[admission] minimum: unknown key"),
        ("release_occupancy = 3", "[admission]: release_occupancy must be from 0 to 2"),
    ],
)
def test_error_names_the_invalid_margin(line: str, place: str) -> None:
    """Guards against an instance that refuses callers by a margin that nobody meant."""
    with pytest.raises(SettingsError) as raised:
        _read(f"[admission]\n{line}\n")
    assert place in str(raised.value)
