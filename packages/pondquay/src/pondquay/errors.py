"""Exceptions of the kernel."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.findings import Finding


class PondquayError(Exception):
    """Base of every error that the kernel raises."""


class InvalidInputError(PondquayError):
    """Input from outside does not have the form that was agreed.

    :param findings: everything that was found wrong, each with its place
    """

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class UnknownPluginError(PondquayError):
    """No plug-in of this name is registered."""


class InvariantError(PondquayError):
    """A caller of the kernel broke a rule that the kernel relies on."""
