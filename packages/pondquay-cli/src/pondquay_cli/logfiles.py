"""Log lines of instances, and the story of one request among them."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

FIELD = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')
START = "time="
# What an instance believes of others changes with these, whoever asks.
BELIEFS = frozenset(
    {
        "started",
        "stopping",
        "configuration-in-force",
        "dependency-lost",
        "dependency-regained",
        "peer-lost",
        "peer-linked",
        "history-lost",
        "lines-left-out",
    }
)
# These matter where they are about the request's upstream or workspace.
ABOUT = ("upstream", "workspace")


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of a log.

    :param time: seconds, by the clock of the instance that wrote it
    :param instance: who wrote it
    """

    time: float
    instance: str
    event: str
    fields: Mapping[str, str]

    def describe(self) -> str:
        """Return the event as a line for people."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time:.3f} {self.instance} {self.event} {fields}".rstrip()


def parse_line(line: str, source: str) -> LogEvent | None:
    """Read a line, ``None`` if it is not an event.

    :param source: who wrote it, if the line does not begin with a name of its own
    """
    start = line.find(START)
    if start < 0:
        return None
    fields = {name: _unquote(value) for name, value in FIELD.findall(line[start:])}
    try:
        time = float(fields.pop("time"))
        event = fields.pop("event")
    except (KeyError, ValueError):
        return None
    fields.pop("level", None)
    before = line[:start].split()
    return LogEvent(time, before[-1] if before else source, event, fields)


def read_events(lines: Iterable[str], source: str) -> Iterator[LogEvent]:
    """Read the events of a log."""
    for line in lines:
        event = parse_line(line, source)
        if event is not None:
            yield event


def find_request_events(
    events: Iterable[LogEvent], request: str, around: float
) -> list[LogEvent]:
    """Return a request's events in order, with what its instances believed then.

    :param around: seconds before its first event and after its last, within which
        changes of belief are told
    """
    all_events = sorted(events, key=lambda one: one.time)
    own = [one for one in all_events if one.fields.get("request") == request]
    if not own:
        return []
    instances = {one.instance for one in own}
    first, last = own[0].time - around, own[-1].time + around
    subjects = {
        (name, one.fields[name])
        for one in own
        for name in ABOUT
        if one.fields.get(name)
    }
    return [
        one
        for one in all_events
        if one in own
        or (
            one.instance in instances
            and first <= one.time <= last
            and _is_about(one, subjects)
        )
    ]


def _is_about(event: LogEvent, subjects: set[tuple[str, str]]) -> bool:
    if "request" in event.fields:
        return False
    if event.event in BELIEFS:
        return True
    return any((name, event.fields.get(name)) in subjects for name in ABOUT)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
