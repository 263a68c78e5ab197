"""State of the watch on the upstream list, and interpretation of missing rows."""

from __future__ import annotations

# Time for which an upstream with a missing row may still be used if there is no other,
# as its renewal may be late. With up to 0.3 s for the notification, it stays below 2 s,
# after which an upstream that has left must get no new requests.
MISSING_GRACE_SECONDS = 1.5
# Time after an outage of the store within which upstreams rewrite rows that expired in
# it.
ROW_RECOVERY_SECONDS = 2.0
# No row expires in an interruption shorter than this, since rows outlast several
# renewals, which come about once a second.
MIN_ROW_EXPIRY_SECONDS = 1.0


class ListWatch:
    """Tracks since when the upstream list has been synced.

    :ivar synced: whether the list can be read
    """

    def __init__(self) -> None:
        self.synced = False
        self._synced_since = 0.0
        self._disconnected_at: float | None = None

    @property
    def recovered_by(self) -> float:
        """Time by which rows that expired in the last outage are back, in seconds."""
        return self._synced_since + ROW_RECOVERY_SECONDS

    def note_synced(self, now: float) -> None:
        """Record that the list can be read, at the start or after an outage."""
        if self.synced:
            return
        if (
            self._disconnected_at is None
            or now - self._disconnected_at >= MIN_ROW_EXPIRY_SECONDS
        ):
            self._synced_since = now
        self.synced = True

    def note_disconnected(self, now: float) -> None:
        """Record that the list cannot be read."""
        if self.synced:
            self.synced = False
            self._disconnected_at = now

    def plan_expiry(self, missing_since: float) -> float | None:
        """Return when an upstream with a missing row counts as departed.

        :returns: the time in seconds, ``None`` while the list cannot be read, since the
            row may have expired in an outage of the store
        """
        if not self.synced:
            return None
        return max(missing_since + MISSING_GRACE_SECONDS, self.recovered_by)

    def is_departure(self, now: float) -> bool:
        """Return whether a row removed now means that its upstream leaves.

        Otherwise it may have expired in an outage of the store.
        """
        return self.synced and now >= self.recovered_by
