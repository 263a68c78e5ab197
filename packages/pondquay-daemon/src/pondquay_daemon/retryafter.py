"""How long an upstream that turns a request away wants no other."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# No upstream wants nothing for longer; a slip of one must not keep it from work for
# good.
MAX_BACKOFF_SECONDS = 3600.0
SECONDS_FORM = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?")


def read_backoff(values: Iterable[bytes]) -> float:
    """Return the longest of the times that stand in an answer, 0 if none does.

    Each is a number of seconds (RFC 9110, section 10.2.3), here with fractions as well.
    A date says nothing, since clocks of hosts differ, and neither does anything else.
    """
    return max(map(_read_seconds, values), default=0.0)


def _read_seconds(value: bytes) -> float:
    text = value.strip()
    if SECONDS_FORM.fullmatch(text) is None:
        return 0.0
    return min(float(text), MAX_BACKOFF_SECONDS)
