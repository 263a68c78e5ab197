"""Exceptions of the package, and the findings that ``InvalidInputError`` holds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem found in an input.

    :param location: ``file:line`` or the path of a field
    :param subject: the key or field concerned
    :param message: human-readable description of the problem
    """

    location: str
    subject: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.subject}: {self.message}"


class PondquayError(Exception):
    """Base class of all errors that the package raises."""


class InvalidInputError(PondquayError):
    """External input is invalid.

    :param findings: all problems found, each with its location
    """

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class MalformedRowError(PondquayError):
    """The value of a table row does not match its schema."""


class UnknownPluginError(PondquayError):
    """No plug-in is registered under the requested name."""


class InvariantError(PondquayError):
    """Calling code violated an invariant that the package relies on."""
