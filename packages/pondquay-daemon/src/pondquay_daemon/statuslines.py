"""Status lines of HTTP responses, by which heads are recognized."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A status line up to its status.
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")


def contain_status_line(texts: Iterable[bytes]) -> bool:
    """Return whether the reason or a header of a head contains a status line.

    Such a head consists of a part of one response and the head of another. It may have
    the status of the first and the name of the second.

    :param texts: the reason and the values of the headers
    """
    return any(STATUS_LINE.search(text) for text in texts)
