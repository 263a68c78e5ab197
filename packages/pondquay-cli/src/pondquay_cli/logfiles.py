"""Parsing of instances' log files, and selection of a request's events."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_cli.errors import InvalidUsageError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping
    from pathlib import Path

FIELD_PATTERN = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')
EVENT_START = "time="
# Events that a relay logs about itself or its links to peers and dependencies. They are
# related to every request at the instance.
INSTANCE_STATE_EVENTS = frozenset(
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
# An event without a request id is related to a request if one of these fields has the
# same value as in an event of the request.
SUBJECT_FIELDS = ("upstream", "workspace")


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One event read from a log line.

    :param time: seconds, by the clock of the instance that wrote the line
    :param instance: name of the instance that wrote the line
    :param event: name of the event
    :param fields: the event's other fields, without its level
    """

    time: float
    instance: str
    event: str
    fields: Mapping[str, str]

    def describe(self) -> str:
        """Return the event as a line of text."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time:.3f} {self.instance} {self.event} {fields}".rstrip()


def parse_line(line: str, source: str) -> LogEvent | None:
    """Return the event of a log line, ``None`` if the line is not an event.

    :param source: instance name to use if none precedes the fields
    """
    start = line.find(EVENT_START)
    if start < 0:
        return None
    fields = {
        name: _unquote(value) for name, value in FIELD_PATTERN.findall(line[start:])
    }
    try:
        time = float(fields.pop("time"))
        event = fields.pop("event")
    except (KeyError, ValueError):
        return None
    fields.pop("level", None)
    prefix = line[:start].split()
    return LogEvent(time, prefix[-1] if prefix else source, event, fields)


def read_events(lines: Iterable[str], source: str) -> Iterator[LogEvent]:
    """Yield the events of a log; other lines are skipped.

    :param source: instance name for lines without a name
    """
    for line in lines:
        event = parse_line(line, source)
        if event is not None:
            yield event


def read_log(path: Path) -> list[LogEvent]:
    """Return the events of a log file.

    :raises InvalidUsageError: if it cannot be read
    """
    try:
        with path.open(encoding="utf-8", errors="replace") as file:
            return list(read_events(file, path.stem))
    except OSError as error:
        raise InvalidUsageError(f"{path}: {error.strerror}") from error


def find_request_events(
    events: Iterable[LogEvent], request: str, margin_seconds: float
) -> list[LogEvent]:
    """Return a request's events and related events of its instances, sorted by time.

    Related events have no request id.

    :param margin_seconds: how long before the request's first event and after its last
        event related events are included
    """
    all_events = sorted(events, key=lambda event: event.time)
    request_events = [
        event for event in all_events if event.fields.get("request") == request
    ]
    if not request_events:
        return []
    instances = {event.instance for event in request_events}
    start, end = (
        request_events[0].time - margin_seconds,
        request_events[-1].time + margin_seconds,
    )
    subjects = {
        (name, event.fields[name])
        for event in request_events
        for name in SUBJECT_FIELDS
        if event.fields.get(name)
    }
    return [
        event
        for event in all_events
        if event in request_events
        or (
            event.instance in instances
            and start <= event.time <= end
            and _is_related(event, subjects)
        )
    ]


def _is_related(event: LogEvent, subjects: set[tuple[str, str]]) -> bool:
    if "request" in event.fields:
        return False
    if event.event in INSTANCE_STATE_EVENTS:
        return True
    return any((name, event.fields.get(name)) in subjects for name in SUBJECT_FIELDS)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
