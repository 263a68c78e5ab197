"""Parses the rate limit that an upstream's response states."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Matches a decimal number without sign or exponent.
RATE_PATTERN = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}")


def read_rate_limit(values: Iterable[bytes]) -> float | None:
    """Return the lowest rate limit of a response, in requests per second.

    :param values: values of the response's rate limit headers
    :returns: ``None`` if no value is a decimal number
    """
    return min(
        (
            float(text)
            for text in map(bytes.strip, values)
            if RATE_PATTERN.fullmatch(text) is not None
        ),
        default=None,
    )
