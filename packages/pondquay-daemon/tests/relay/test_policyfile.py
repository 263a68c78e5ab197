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


def test_missing_values_keep_their_defaults() -> None:
    findings = Findings()
    policy = read_policy("[policy]\n", "policy.ini", findings)
    assert policy == DEFAULT_POLICY
    assert not findings.found


def test_switches_and_numbers_are_parsed() -> None:
    text = "[policy]\nborrow = off\nlast_part = 0.1\nmost_holders = 4\n"
    policy = read_policy(text, "policy.ini", Findings())
    expected = replace(DEFAULT_POLICY, borrow=False, last_part=0.1, most_holders=4)
    assert policy == expected


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
def test_each_error_is_reported_with_its_location(line: str, message: str) -> None:
    findings = Findings()
    read_policy(f"[policy]\nurgency = off\n{line}\n", "policy.ini", findings)
    (finding,) = findings.found
    assert (finding.location, finding.message) == ("policy.ini:3", message)


def test_a_file_without_its_section_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "policy.ini"
    path.write_text("[other]\nborrow = off\n")
    with pytest.raises(InvalidInputError, match=r"\[policy\] is missing"):
        load_policy(path)


def test_a_missing_file_is_refused(tmp_path: Path) -> None:
    with pytest.raises(InvalidInputError, match="cannot be read"):
        load_policy(tmp_path / "none.ini")
