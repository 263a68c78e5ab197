"""Findings: what is wrong with an input, and where."""

from __future__ import annotations

from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import TYPE_CHECKING

from pondquay.errors import Finding, InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(slots=True)
class Findings:
    """A collector, so that all findings of one input are reported together."""

    found: list[Finding] = field(default_factory=list)

    def add(self, location: str, subject: str, message: str) -> None:
        """Note one finding."""
        self.found.append(Finding(location, subject, message))

    def raise_if_any(self) -> None:
        """Report all findings at once.

        :raises InvalidInputError: if anything was found
        """
        if self.found:
            raise InvalidInputError(self.found)


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint that names the nearest known name, or an empty text."""
    matches = get_close_matches(name, list(known), n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""
