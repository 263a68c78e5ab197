"""Parses the back-off that an upstream requests when it rejects a request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Keeps an erroneous value from excluding an upstream permanently.
MAX_BACKOFF_SECONDS = 3600.0
SECONDS_PATTERN = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?")


def read_backoff(values: Iterable[bytes]) -> float:
    """Return the longest back-off of ``Retry-After`` values in seconds, 0 without any.

    A value is a number of seconds (RFC 9110, section 10.2.3), optionally with a
    fraction. Dates are ignored, since hosts' clocks differ, as are malformed values.
    """
    return max(map(_read_seconds, values), default=0.0)


def _read_seconds(value: bytes) -> float:
    text = value.strip()
    if SECONDS_PATTERN.fullmatch(text) is None:
        return 0.0
    return min(float(text), MAX_BACKOFF_SECONDS)
