"""Logs: one line of key=value pairs an event, through eliot."""

from __future__ import annotations

import json
import sys
from enum import IntEnum
from typing import TYPE_CHECKING, Any, TextIO

from eliot import add_destinations, log_message

if TYPE_CHECKING:
    from collections.abc import Mapping

HIDDEN = ("task_uuid", "task_level", "timestamp", "message_type", "level")


class Level(IntEnum):
    """How much an event matters."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


def log_event(event: str, level: Level = Level.INFO, **fields: object) -> None:
    """Log one event. Payloads and secrets are never among the fields."""
    log_message(message_type=event, level=int(level), **fields)


def format_event(message: Mapping[str, Any]) -> str:
    """Return an event as one line."""
    level = Level(message.get("level", Level.INFO)).name.lower()
    parts = [
        f"time={message.get('timestamp', 0):.3f}",
        f"level={level}",
        f"event={message.get('message_type', 'unknown')}",
    ]
    parts += [
        f"{key}={_quote(value)}" for key, value in message.items() if key not in HIDDEN
    ]
    return " ".join(parts)


def _quote(value: object) -> str:
    text = str(value)
    plain = text and not any(one in text for one in ' "=\n\r\t')
    return text if plain else json.dumps(text)


class LineWriter:
    """Writes events at or above a level to a stream."""

    def __init__(self, level: Level, stream: TextIO) -> None:
        self._level = level
        self._stream = stream

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one event."""
        if message.get("level", Level.INFO) < self._level:
            return
        self._stream.write(format_event(message) + "\n")
        self._stream.flush()


def start_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Send all events from now on to a stream."""
    add_destinations(LineWriter(Level[level.upper()], stream))
