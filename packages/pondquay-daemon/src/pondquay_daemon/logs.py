"""Structured logs through eliot: one line of ``key=value`` pairs for each event."""

from __future__ import annotations

import json
import re
import sys
from enum import IntEnum
from time import monotonic, time
from typing import TYPE_CHECKING, Any, TextIO

from eliot import Logger, add_destinations

from pondquay_daemon.logbudget import LineBudget, LineOutput

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

UNKNOWN = "unknown"
HIDDEN_FIELDS = frozenset(
    ("task_uuid", "task_level", "timestamp", "message_type", "level")
)
_MUST_QUOTE = re.compile(r'[ "=\n\r\t]')
_LOGGER = Logger()


class Level(IntEnum):
    """Severity of an event."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


LEVEL_NAMES = {level: level.name.lower() for level in Level}


def log_event(event: str, level: Level = Level.INFO, **fields: object) -> None:
    """Log one event; the fields must not contain payloads or secrets."""
    # Written directly, since no event belongs to an action of eliot.
    _LOGGER.write(
        {**fields, "timestamp": time(), "message_type": event, "level": int(level)}
    )


def format_event(message: Mapping[str, Any]) -> str:
    """Format an event as one line."""
    level = message.get("level", Level.INFO)
    pairs = [
        f"time={message.get('timestamp', 0):.3f}",
        f"level={LEVEL_NAMES[level]}",
        f"event={message.get('message_type', UNKNOWN)}",
    ]
    pairs += [
        f"{key}={_quote(value)}"
        for key, value in message.items()
        if key not in HIDDEN_FIELDS
    ]
    return " ".join(pairs)


def _quote(value: object) -> str:
    text = str(value)
    plain = text and not _MUST_QUOTE.search(text)
    return text if plain else json.dumps(text)


class LineWriter:
    """Writes events at or above a level to a stream, within a budget of lines.

    :param clock: returns the seconds of a monotonic clock
    """

    def __init__(
        self, level: Level, stream: TextIO, clock: Callable[[], float] = monotonic
    ) -> None:
        self._level = level
        self._output = LineOutput(stream)
        self._clock = clock
        self.budget = LineBudget()

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one event, preceded by the counts of suppressed ones."""
        level = message.get("level", Level.INFO)
        if level < self._level:
            return
        now = self._clock()
        for event, count in self.budget.pop_suppressed(now).items():
            self._write(_describe_suppressed(message, event, count))
        event = message.get("message_type", UNKNOWN)
        if self.budget.acquire(event, now, failure=level >= Level.WARNING):
            self._write(message)

    def _write(self, message: Mapping[str, Any]) -> None:
        if not self._output.write(format_event(message) + "\n"):
            self.budget.count_suppressed(message.get("message_type", UNKNOWN))


def _describe_suppressed(
    message: Mapping[str, Any], event: str, count: int
) -> dict[str, Any]:
    """Return an event that reports how many lines of an event were suppressed."""
    return {
        "timestamp": message.get("timestamp", 0),
        "message_type": "lines-left-out",
        "level": int(Level.WARNING),
        "kind": event,
        "count": count,
    }


def start_logs(level: str, stream: TextIO | None = None) -> LineBudget:
    """Start to write events at or above a level to a stream.

    :param stream: where to write, by default standard output
    :returns: the budget of lines, which counts suppressed lines
    """
    writer = LineWriter(Level[level.upper()], stream or sys.stdout)
    add_destinations(writer)
    return writer.budget
