"""Whether a list is being followed, and what it means that a row is gone from it."""

from __future__ import annotations

# Seconds for which an upstream whose row has vanished is still tried where no other is
# left. It bridges a renewal that came late. One that left must get nothing new 2 s
# after its row went, and up to 0.3 s of these pass until that is heard.
MISSING_GRACE_SECONDS = 1.5
# Seconds after the list can be followed again in which rows that lapsed for the store's
# sake come back: the platform says about two.
RETURN_SECONDS = 2.0
# An interruption shorter than this, in seconds, makes no row lapse: a row lives for
# several renewals, which come about once a second.
LAPSE_SECONDS = 1.0


class ListWatch:
    """Tells since when a list has been followed.

    :ivar synced: whether it is being followed
    """

    def __init__(self) -> None:
        self.synced = False
        self._since = 0.0
        self._lost_at: float | None = None

    @property
    def returned_by(self) -> float:
        """When rows that lapsed in the last interruption are back, in seconds."""
        return self._since + RETURN_SECONDS

    def begin(self, now: float) -> None:
        """Learn that the list is being followed, also after an interruption."""
        if self.synced:
            return
        if self._lost_at is None or now - self._lost_at >= LAPSE_SECONDS:
            self._since = now
        self.synced = True

    def interrupt(self, now: float) -> None:
        """Learn that the list cannot be followed."""
        if self.synced:
            self.synced = False
            self._lost_at = now

    def plan_expiry(self, missing_since: float) -> float | None:
        """Return when an upstream has surely left whose row is gone since some time.

        :returns: ``None`` while its row may have lapsed for the store's sake
        """
        if not self.synced:
            return None
        return max(missing_since + MISSING_GRACE_SECONDS, self.returned_by)

    def is_departure(self, now: float) -> bool:
        """Tell whether a row that goes now has not lapsed for the store's sake."""
        return self.synced and now >= self.returned_by
