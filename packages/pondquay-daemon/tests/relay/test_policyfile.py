from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from pondquay.errors import InvalidInputError
from pondquay.findings import Findings
from pondquay.policy import DEFAULT_POLICY
from pondquay_daemon.relay.policyfile import load_policy, read_policy

if TYPE_CHECKING:
    from pathlib import Path


def test_what_is_not_set_is_as_usual() -> None:
    findings = Findings()
    read = read_policy("[policy]\n", "policy.ini", findings)
    assert read == DEFAULT_POLICY
    assert not findings.found


def test_switches_and_figures_are_read() -> None:
    text = "[policy]\nborrow = off\nlast_part = 0.1\nmost_holders = 4\n"
    read = read_policy(text, "policy.ini", Findings())
    expected = replace(DEFAULT_POLICY, borrow=False, last_part=0.1, most_holders=4)
    assert read == expected


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("borow = off", "is not known; did you mean 'borrow'?"),
        ("borrow = false", "must be on or off"),
        ("last_part = much", "must be a number"),
        ("most_holders = 1.5", "must be a whole number"),
        ("cover_seconds = -1", "must not be negative"),
    ],
)
def test_all_that_is_wrong_is_told_with_its_place(line: str, message: str) -> None:
    findings = Findings()
    read_policy(f"[policy]\nurgency = off\n{line}\n", "policy.ini", findings)
    (finding,) = findings.found
    assert (finding.location, finding.message) == ("policy.ini:3", message)


def test_a_file_without_its_section_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "policy.ini"
    path.write_text("[other]\nborrow = off\n")
    with pytest.raises(InvalidInputError, match=r"\[policy\] is missing"):
        load_policy(path)


def test_a_file_that_is_not_there_is_refused(tmp_path: Path) -> None:
    with pytest.raises(InvalidInputError, match="cannot be read"):
        load_policy(tmp_path / "none.ini")
