"""Collection of the problems found in an input."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.errors import Finding, InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(slots=True)
class Findings:
    """Collects all findings of an input, so that they are reported together."""

    found: list[Finding] = field(default_factory=list)

    def add(self, location: str, subject: str, message: str) -> None:
        """Add a finding."""
        self.found.append(Finding(location, subject, message))

    def raise_if_any(self) -> None:
        """Raise one error that carries all findings.

        :raises InvalidInputError: if there are findings
        """
        if self.found:
            raise InvalidInputError(self.found)


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known name, or an empty string."""
    from difflib import get_close_matches

    matches = get_close_matches(name, list(known), n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""
