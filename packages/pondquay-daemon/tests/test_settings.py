from __future__ import annotations

from pathlib import Path

import pytest

from pondquay.errors import InvalidInputError
from pondquay_daemon.__main__ import main
from pondquay_daemon.settings import load_settings


def test_all_findings_are_reported_together(tmp_path: Path, settings_text: str) -> None:
    path = tmp_path / "entry.ini"
    invalid = settings_text.replace("127.0.0.1:3", "nowhere") + "\n".join(
        ["", "[limits]", "body_byte = 5", "running = many", "[instnace]", "a = 1"]
    )
    path.write_text(invalid)
    with pytest.raises(InvalidInputError) as caught:
        load_settings(path)
    findings = {str(finding) for finding in caught.value.findings}
    assert findings == {
        f"{path}:7: listen.peers: must be HOST:PORT",
        f"{path}:14: limits.body_byte: unknown; did you mean 'body_bytes'?",
        f"{path}:15: limits.running: Input should be a valid integer, "
        "unable to parse string as an integer",
        f"{path}:16: instnace: unknown section; did you mean 'instance'?",
    }


def test_missing_sections_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text("")
    with pytest.raises(InvalidInputError) as caught:
        load_settings(path)
    subjects = [finding.subject for finding in caught.value.findings]
    assert subjects == ["instance", "listen", "platform", "fleet"]


def test_a_syntax_error_is_reported_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "entry.ini"
    path.write_text("[instance]\nname = a\nnonsense\n")
    with pytest.raises(InvalidInputError) as caught:
        load_settings(path)
    assert str(caught.value).startswith(f"{path}:3: file:")


def test_check_accepts_valid_settings_and_prints_findings(
    tmp_path: Path, settings_text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "entry.ini"
    path.write_text(settings_text)
    assert main(["--settings", str(path), "--check"]) == 0
    path.write_text(settings_text.replace("name = entry-1", "name = Entry 1"))
    assert main(["--settings", str(path), "--check"]) == 2
    assert f"{path}:2: instance.name" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["khuree-a1", "lima-1a"])
def test_the_examples_are_valid_except_for_their_key_file(name: str) -> None:
    path = Path(__file__).parents[3] / "docs" / "examples" / f"{name}.ini"
    with pytest.raises(InvalidInputError) as caught:
        load_settings(path)
    assert [finding.subject for finding in caught.value.findings] == ["fleet.key_file"]
