"""The file that switches a relay's mechanisms, for experiments.

It is an INI file with a section ``[policy]``; its keys are the fields of
:class:`~pondquay.policy.RelayPolicy`.
"""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING, Any

from pondquay.findings import Findings, suggest_name
from pondquay.ini import read_ini
from pondquay.policy import DEFAULT_POLICY, RelayPolicy

if TYPE_CHECKING:
    from pathlib import Path

SECTION = "policy"
SWITCHES = {"on": True, "off": False}


def load_policy(path: Path) -> RelayPolicy:
    """Read a file.

    :raises InvalidInputError: with everything that is wrong in it
    """
    findings = Findings()
    try:
        text = path.read_text()
    except OSError as error:
        findings.add(str(path), "file", f"cannot be read: {error.strerror}")
        findings.raise_if_any()
    policy = read_policy(text, str(path), findings)
    findings.raise_if_any()
    return policy


def read_policy(text: str, source: str, findings: Findings) -> RelayPolicy:
    """Read the file's text; what is not set is as usual.

    :param source: the file's name
    """
    section = read_ini(text, source, findings).find(SECTION)
    if section is None:
        findings.add(source, SECTION, f"the section [{SECTION}] is missing")
        return DEFAULT_POLICY
    usual = {one.name: getattr(DEFAULT_POLICY, one.name) for one in fields(RelayPolicy)}
    values: dict[str, Any] = {}
    for key, written in section.values.items():
        place = section.describe_location(key)
        if key not in usual:
            findings.add(place, key, f"is not known{suggest_name(key, usual)}")
            continue
        try:
            values[key] = _read_value(written, usual[key])
        except ValueError as error:
            findings.add(place, key, str(error))
    return RelayPolicy(**values)


def _read_value(written: str, usual: bool | float) -> bool | float:
    """Read a value of the same kind as the usual one.

    :raises ValueError: if it is of another kind
    """
    if isinstance(usual, bool):
        if written not in SWITCHES:
            raise ValueError("must be on or off")
        return SWITCHES[written]
    try:
        value = type(usual)(written)
    except ValueError:
        kind = "a whole number" if isinstance(usual, int) else "a number"
        raise ValueError(f"must be {kind}") from None
    if value < 0:
        raise ValueError("must not be negative")
    return value
