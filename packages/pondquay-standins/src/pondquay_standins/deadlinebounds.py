"""The bound of the time that replicas may get for requests."""

from __future__ import annotations

# Time by which a replica's deadline may be later than that of the caller.
GRACE_SECONDS = 0.5
# More than this number, and this fraction, of too late deadlines are not allowed.
MAX_LATE = 20
MAX_LATE_FRACTION = 0.2


def is_late(arrived_at: float, deadline: float | None, until: float) -> bool:
    """Return whether a replica gets more time than is left.

    :param deadline: seconds that it has, ``None`` if it was not told
    :param until: the caller's deadline, in seconds
    """
    return deadline is None or arrived_at + deadline > until + GRACE_SECONDS


def are_too_many(late: int, judged: int) -> bool:
    """Return whether too many of the judged requests had too late deadlines."""
    return late > max(MAX_LATE, MAX_LATE_FRACTION * judged)
