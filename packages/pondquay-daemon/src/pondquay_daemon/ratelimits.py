"""How many requests a second an upstream takes, as its answers say."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A decimal number without sign or exponent.
RATE_FORM = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}")


def read_rate_limit(values: Iterable[bytes]) -> float | None:
    """Return the lowest of the limits that stand in an answer, in requests a second.

    :returns: ``None`` if there is none, or none that is a decimal number
    """
    return min(
        (
            float(text)
            for text in map(bytes.strip, values)
            if RATE_FORM.fullmatch(text) is not None
        ),
        default=None,
    )
