"""Tests that any content of a settings file gives settings or a SettingsError, and nothing else."""

import os
import pathlib

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from catkinspread.ini import SettingsError, read_ini_file
from catkinspread.ini.limited_file import FILE_MAX_BYTES
from catkinspread.model import Endpoint
from catkinspread.runtime.settings import ForwardingSettings, read_forwarding_settings
from catkinspread.runtime.tests.test_settings import VALID

_ADMISSION = """
[admission]
mode = auto
limit_occupancy = 2.0
release_after_ms = 1000
"""
_LINES = [line for line in (VALID + _ADMISSION).splitlines() if line]
# Values that parts of the standard library accept, reject or read in unexpected ways.
_VALUES = [
    "",
    "²",
    "٣",
    "--5",
    "9" * 5_000,
    "1e999",
    "nan",
    "inf",
    "true",
    "\x00",
    "%(name)s",
    "0.0.0.0:8172",
    "[::1]:8172",
    "::1:8172",
    "fe80::1%eth0:8172",
    "224.0.0.1:8172",
    "10.1.0.10:²",
    "10.1.0.10:٨١",
    f"10.1.0.10:{'9' * 5_000}",
    "10.1.0.10:0",
    ",,,",
    "a\n  b\n\n  c",
]


def _read(path: pathlib.Path) -> ForwardingSettings | SettingsError:
    try:
        result = read_forwarding_settings(path)
    except SettingsError as error:
        msgspec.json.encode(str(error))  # It can be logged.
        return error
    for endpoint in (result.packet_address, result.readiness_address, result.source_address):
        assert isinstance(endpoint, Endpoint)
    return result


@st.composite
def _build_variants(draw: st.DrawFn) -> str:
    """Builds a valid file with some lines removed, repeated, or with another value."""
    lines: list[str] = []
    for line in _LINES:
        change = draw(st.sampled_from(["", "", "", "", "remove", "repeat", "value", "line"]))
        key = line.partition("=")[0]
        value = draw(st.sampled_from(_VALUES) | st.text(max_size=20))
        lines += {
            "": [line],
            "remove": [],
            "repeat": [line, line],
            "value": [f"{key}= {value}"],
            "line": [value],
        }[change]
    return "\n".join(lines)


@pytest.fixture(name="path", scope="module")
def _choose_path(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    return tmp_path_factory.mktemp("settings") / "instance.ini"


@seed(1)
@settings(max_examples=100, deadline=None, database=None)
@given(content=_build_variants())
def test_variants_of_a_valid_file(path: pathlib.Path, content: str) -> None:
    """Guards against an end or a failed reload by one unusual line."""
    path.write_bytes(content.encode("utf-8", "surrogatepass"))
    _read(path)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(content=st.binary(max_size=400) | st.text("[]=:;#\n\t %a\x00é").map(str.encode))
def test_any_content(path: pathlib.Path, content: bytes) -> None:
    """Guards against an end or a failed reload by a file that is not in the format."""
    path.write_bytes(content)
    assert isinstance(_read(path), SettingsError)


@pytest.mark.parametrize("value", _VALUES, ids=ascii)
@pytest.mark.parametrize(
    "key", ["packet_address", "peer_port", "mode", "limit_occupancy", "release_after_ms"]
)
def test_unusual_value_is_rejected(path: pathlib.Path, key: str, value: str) -> None:
    """Guards against an address, port or margin that fails only once it is used."""
    lines = [f"{key} = {value}" if line.startswith(key) else line for line in _LINES]
    path.write_text("\n".join(lines))
    error = _read(path)
    assert isinstance(error, SettingsError)
    assert len(str(error)) < 1_000


@pytest.mark.parametrize("seeds", ["0.0.0.0:8166", "::1:8166", "224.0.0.1:8166"])
def test_seed_that_cannot_be_reached_is_accepted(path: pathlib.Path, seeds: str) -> None:
    """Guards against an instance that does not start because another one cannot be reached."""
    lines = [f"seeds = {seeds}" if line.startswith("seeds") else line for line in _LINES]
    path.write_text("\n".join(lines))
    assert isinstance(_read(path), ForwardingSettings)


def test_byte_order_mark_is_accepted(path: pathlib.Path) -> None:
    """Guards against refusing a file because of the editor that wrote it."""
    path.write_bytes(b"\xef\xbb\xbf" + VALID.lstrip().encode())
    assert isinstance(_read(path), ForwardingSettings)


def test_large_file_is_rejected(path: pathlib.Path) -> None:
    """Guards against a file that fills the memory, such as a device."""
    path.write_bytes(VALID.encode() + b"#" * (10 * FILE_MAX_BYTES))
    assert "larger than" in str(_read(path))
    assert "larger than" in str(_read(pathlib.Path("/dev/zero")))


def test_file_that_is_no_regular_file_is_rejected(tmp_path: pathlib.Path) -> None:
    """Guards against a start or a reload that blocks, or fails with another error."""
    assert isinstance(_read(tmp_path), SettingsError)
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    assert "no end" in str(_read(pipe))
    assert isinstance(_read(tmp_path / os.fsdecode(b"no-text-\xff")), SettingsError)
    assert isinstance(_read(pathlib.Path("/dev/null")), SettingsError)


def test_unreadable_file_is_rejected() -> None:
    """Guards against another error where the file may be listed but not read.

    Reading this file is an error of the system for every user.
    """
    with pytest.raises(SettingsError):
        read_ini_file("/proc/self/mem")
