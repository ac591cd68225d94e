"""Tests of the command-line program."""

import pytest

from catkinspread.console import main


def test_written_examples_are_valid_settings(tmp_path, capsys):
    """Guards against example settings files that `check` rejects."""
    for deployment in ("kalahari", "consortium"):
        directory = tmp_path / deployment
        assert main(["write-example", deployment, str(directory)]) == 0
        files = [str(file) for file in sorted(directory.glob("*.ini"))]
        assert len(files) == 9
        assert main(["check", *files]) == 0
    assert "are valid" in capsys.readouterr().out


def test_unknown_key_of_a_token_is_refused(tmp_path, capsys):
    """Guards against a misspelt key, such as `role`, that is ignored, so that the token grants nothing."""
    assert main(["write-example", "kalahari", str(tmp_path)]) == 0
    file = sorted(tmp_path.glob("*.ini"))[0]
    file.write_text(f"{file.read_text()}\n[token ada]\nsha256 = {'0' * 64}\nteam = x\nrole = y\n")
    assert main(["check", str(file)]) == 1
    assert "[token ada] role" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        (["frob"], 2, "invalid choice: 'frob'"),
        (["upstream", "--address", "localhost:1"], 2, "expected IP:PORT with an IP address"),
        (["check", "absent.ini"], 1, "absent.ini: cannot be read"),
        (["bench", "brokn-flows"], 2, "no bench named 'brokn-flows'"),
    ],
)
def test_errors_go_to_standard_error_with_their_status(capsys, arguments, status, message):
    """Guards against a wrong exit status or a message that does not name the cause."""
    assert main(arguments) == status
    captured = capsys.readouterr()
    assert message in captured.err
    assert captured.out == ""
