"""File that overrides the default policy of a relay, for experiments.

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
    """Read a policy file.

    :raises InvalidInputError: if it is invalid; lists every error
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
    """Parse a policy file; values that are not set keep their defaults.

    :param source: name of the file
    :param findings: receives the errors
    """
    section = read_ini(text, source, findings).find(SECTION)
    if section is None:
        findings.add(source, SECTION, f"the section [{SECTION}] is missing")
        return DEFAULT_POLICY
    defaults = {
        field.name: getattr(DEFAULT_POLICY, field.name) for field in fields(RelayPolicy)
    }
    values: dict[str, Any] = {}
    for key, value_text in section.values.items():
        location = section.describe_location(key)
        if key not in defaults:
            findings.add(location, key, f"is not known{suggest_name(key, defaults)}")
            continue
        try:
            values[key] = _read_value(value_text, defaults[key])
        except ValueError as error:
            findings.add(location, key, str(error))
    return RelayPolicy(**values)


def _read_value(text: str, default: bool | float) -> bool | float:
    """Parse a switch or a number, by the type of its default.

    :raises ValueError: if it is of another type or negative
    """
    if isinstance(default, bool):
        if text not in SWITCHES:
            raise ValueError("must be on or off")
        return SWITCHES[text]
    try:
        value = type(default)(text)
    except ValueError:
        kind = "a whole number" if isinstance(default, int) else "a number"
        raise ValueError(f"must be {kind}") from None
    if value < 0:
        raise ValueError("must not be negative")
    return value
