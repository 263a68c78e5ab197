"""Exceptions of the kernel, and the findings that one of them reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong.

    :param location: where, as ``file:line`` or as a field's path
    :param subject: the key or field concerned
    :param message: what is wrong, in words for a person
    """

    location: str
    subject: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.subject}: {self.message}"


class PondquayError(Exception):
    """Base of every error that the kernel raises."""


class InvalidInputError(PondquayError):
    """Input from outside does not have the form that was agreed.

    :param findings: everything that was found wrong, each with its place
    """

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class MalformedRowError(PondquayError):
    """A row of a table does not have the form that was agreed."""


class UnknownPluginError(PondquayError):
    """No plug-in of this name is registered."""


class InvariantError(PondquayError):
    """A caller of the kernel broke a rule that the kernel relies on."""
