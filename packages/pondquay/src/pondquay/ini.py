"""Parser for INI files that records line numbers for findings."""

from __future__ import annotations

import re
from configparser import ConfigParser
from configparser import Error as ConfigParserError
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.findings import Findings

_SECTION = re.compile(r"^\[(?P<name>[^\]]+)\]")
_KEY = re.compile(r"^(?P<key>[^\s=:#;\[][^=:]*?)\s*[=:]")


@dataclass(frozen=True, slots=True)
class IniSection:
    """A section of an INI file.

    :param source: name of the file
    :param line: line number of the section's heading
    :param lines: line number of each key, by its name in lower case
    """

    name: str
    source: str
    line: int
    values: dict[str, str]
    lines: dict[str, int] = field(default_factory=dict)

    @property
    def location(self) -> str:
        """``file:line`` of the section's heading."""
        return f"{self.source}:{self.line}"

    def describe_location(self, key: str) -> str:
        """Return ``file:line`` of a key, or of the heading if the key is missing."""
        return f"{self.source}:{self.lines.get(key, self.line)}"


@dataclass(frozen=True, slots=True)
class IniDocument:
    """The sections of an INI file, in file order."""

    sections: tuple[IniSection, ...] = ()

    def find(self, name: str) -> IniSection | None:
        """Return the section with this name, or ``None``."""
        return next(
            (section for section in self.sections if section.name == name), None
        )


def read_ini(text: str, source: str, findings: Findings) -> IniDocument:
    """Parse an INI file; add a syntax error to the findings.

    :param source: name of the file
    :returns: the document, empty if the syntax is invalid
    """
    parser = ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, source)
    except ConfigParserError as error:
        line = getattr(error, "lineno", None) or _first_line(error)
        findings.add(f"{source}:{line}", "file", error.message.splitlines()[0])
        return IniDocument()
    headings, keys = _find_lines(text)
    return IniDocument(
        tuple(
            IniSection(
                name, source, headings[name], dict(parser[name]), keys.get(name, {})
            )
            for name in parser.sections()
        )
    )


def _first_line(error: ConfigParserError) -> int:
    errors = getattr(error, "errors", None)
    return int(errors[0][0]) if errors else 1


def _find_lines(text: str) -> tuple[dict[str, int], dict[str, dict[str, int]]]:
    headings: dict[str, int] = {}
    keys: dict[str, dict[str, int]] = {}
    current = ""
    for number, line in enumerate(text.splitlines(), start=1):
        heading = _SECTION.match(line)
        if heading:
            current = heading["name"]
            headings[current] = number
            continue
        key = _KEY.match(line)
        if key and current:
            keys.setdefault(current, {})[key["key"].lower()] = number
    return headings, keys
