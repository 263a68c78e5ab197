"""State of the watch on the upstream list, and the meaning of a row missing from it."""

from __future__ import annotations

# Seconds for which an upstream whose row is missing is still tried where no other is
# left. It covers a late renewal. An upstream that has left must get no new request 2 s
# after its row was removed, of which the notification takes up to 0.3 s.
MISSING_GRACE_SECONDS = 1.5
# Seconds after the watch is back in which upstreams rewrite rows that expired in an
# outage of the store.
ROW_RECOVERY_SECONDS = 2.0
# No row expires in an interruption shorter than this, in seconds: rows outlast several
# renewals, which come about once a second.
MIN_ROW_EXPIRY_SECONDS = 1.0


class ListWatch:
    """Tracks since when the upstream list has been synced.

    :ivar synced: whether the list is being followed
    """

    def __init__(self) -> None:
        self.synced = False
        self._synced_since = 0.0
        self._disconnected_at: float | None = None

    @property
    def recovered_by(self) -> float:
        """When rows that expired in the last outage are back, in seconds."""
        return self._synced_since + ROW_RECOVERY_SECONDS

    def note_synced(self, now: float) -> None:
        """Record that the list is being followed, also after an interruption."""
        if self.synced:
            return
        if (
            self._disconnected_at is None
            or now - self._disconnected_at >= MIN_ROW_EXPIRY_SECONDS
        ):
            self._synced_since = now
        self.synced = True

    def note_disconnected(self, now: float) -> None:
        """Record that the list cannot be followed."""
        if self.synced:
            self.synced = False
            self._disconnected_at = now

    def plan_expiry(self, missing_since: float) -> float | None:
        """Return when an upstream with a missing row counts as departed, in seconds.

        :returns: ``None`` while the row may have expired in an outage of the store
        """
        if not self.synced:
            return None
        return max(missing_since + MISSING_GRACE_SECONDS, self.recovered_by)

    def is_departure(self, now: float) -> bool:
        """Return whether a row removed now means that its upstream leaves.

        Otherwise it may have expired in an outage of the store.
        """
        return self.synced and now >= self.recovered_by
