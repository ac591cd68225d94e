"""Tests of the command that checks a configuration before it is sent."""

import copy
import json

import pytest

from catkinspread.configuration_check import ConfigurationField
from catkinspread.console import main
from catkinspread.platform.field_names import get_field_name

PORT = get_field_name(ConfigurationField.PORT)
SOUND = {
    "version": 8,
    "routes": [
        {
            "name": "r1",
            "host": "198.18.0.1",
            PORT: "/8443/",
            "kind": "safe",
            "service": "pages",
            "timeout_ms": 2_000,
            "aim_ms": 500,
            "priority": 1,
        },
        {
            "name": "r2",
            "host": "198.18.0.2",
            PORT: "/8443/",
            "kind": "unsafe",
            "backends": [{"service": "pages", "weight": 90}, {"service": "plates", "weight": 10}],
            "timeout_ms": 4_000,
            "priority": 1,
        },
    ],
    "services": [
        {"name": "pages", "max_flows": 2_000, "cold_per_s": 4.5},
        {"name": "plates", "max_flows": 500, "cold_per_s": 2.0},
    ],
    "limits": {"idle_timeout_ms": 15_000},
}


def build_doubtful() -> dict:
    """Returns a configuration that instances take, with every kind of warning."""
    content = copy.deepcopy(SOUND)
    first, second = content["routes"]
    first["aim_ms"] = 2_500
    second["backends"][1]["weight"] = 0
    second["service"] = "pages"
    content["routes"] += [
        {**first, "name": "r3", "priority": 0, "timeout_ms": 20_000},
        {**first, "name": "r4", "host": "198.18.0.3", "service": "tables"},
    ]
    content["services"] += [
        {"name": "pages", "max_flows": 2_000, "cold_per_s": 0},
        {"name": "spare"},
    ]
    return content


def build_refused() -> dict:
    """Returns a configuration that instances refuse for several reasons."""
    content = copy.deepcopy(SOUND)
    content["routes"][0].update({"host": "pages.example", PORT: "/0/"})
    content["routes"][1].update(timeout_ms="4 s", priority=-1)
    del content["services"][1]["name"]
    return content


@pytest.fixture
def check(tmp_path, monkeypatch, capsys):
    """Returns a function that checks contents and returns the exit status and the output."""
    monkeypatch.chdir(tmp_path)

    def run(content, *arguments, against=None):
        (tmp_path / "new.json").write_text(json.dumps(content))
        if against is not None:
            (tmp_path / "current.json").write_text(json.dumps(against))
            arguments += ("--against", "current.json")
        status = main(["check-configuration", "new.json", *arguments])
        captured = capsys.readouterr()
        assert captured.err == ""
        return status, captured.out

    return run


def test_sound_configuration_passes(check, snapshot):
    """Guards against a configuration without faults that is held back."""
    status, output = check(SOUND)
    assert status == 0
    assert output == snapshot


def test_warnings_are_listed(check, snapshot):
    """Guards against unnoticed changes of the text that operators read."""
    status, output = check(build_doubtful())
    assert status == 1
    assert output == snapshot


def test_all_errors_are_listed(check, snapshot):
    """Guards against a report that stops at the first fault."""
    status, output = check(build_refused())
    assert status == 1
    assert output == snapshot


def test_differences_alone_pass(check, snapshot):
    """Guards against differences that are missing, or that hold an intended change back."""
    current = copy.deepcopy(SOUND)
    current["version"] = 7
    current["routes"][0].update(host="198.18.0.9", kind="unsafe", timeout_ms=1_000)
    current["routes"][1].update(name="r0", backends=[], service="plates")
    current["services"][1].update(max_flows=400)
    current["limits"]["idle_timeout_ms"] = 10_000
    status, output = check(SOUND, against=current)
    assert status == 0
    assert output == snapshot


def test_version_that_is_not_higher_fails(check):
    """Guards against an object that is sent although instances ignore it."""
    status, output = check(SOUND, against=SOUND)
    assert status == 1
    assert "version 8 is not above the version in force, 8" in output


def test_json_has_the_same_findings(check):
    """Guards against scripts that miss a finding or cannot tell where it is."""
    status, output = check(build_doubtful(), "--format", "json")
    report = json.loads(output)
    _, text = check(build_doubtful())
    assert status == 1
    assert f"warnings {report['warnings']}, information {report['information']}" in text
    for row in report["findings"]:
        assert f"{row['severity']}: {row['object']}" in text
        assert f"{row['field']}: {row['message']} [{row['code']}]" in text
        assert row["advice"] in text
    (shadowed,) = [row for row in report["findings"] if row["code"] == "shadowed-route"]
    assert (shadowed["name"], shadowed["position"], shadowed["field"]) == ("r1", 0, "host")


def test_file_that_is_not_json_is_an_error_of_its_content(tmp_path, capsys):
    """Guards against the status of a missing file for one that instances would refuse."""
    path = tmp_path / "new.json"
    path.write_bytes(b"\xff{")
    assert main(["check-configuration", str(path)]) == 1
    assert "[refused-value]" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["absent.json"], "absent.json"),
        (["."], "."),
        (["sound.json", "--against", "absent.json"], "absent.json"),
        (
            ["sound.json", "--against", "refused.json"],
            "refused.json cannot be compared: route 'r1' (entry 0), host: ",
        ),
        (["sound.json", "--format", "xml"], "invalid choice: 'xml'"),
        ([], "arguments are required: file"),
    ],
)
def test_wrong_files_and_arguments(tmp_path, monkeypatch, capsys, arguments, message):
    """Guards against a check that could not run but looks like one with or without findings."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "sound.json").write_text(json.dumps(SOUND))
    (tmp_path / "refused.json").write_text(json.dumps(build_refused()))
    assert main(["check-configuration", *arguments]) == 2
    captured = capsys.readouterr()
    assert message in captured.err
    assert captured.out == ""
