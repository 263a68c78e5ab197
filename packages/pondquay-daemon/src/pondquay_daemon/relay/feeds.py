"""Following tables of the store: a snapshot first, then changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from random import uniform
from typing import TYPE_CHECKING

from pondquay.tables import Unreachable
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.store import Changes, HistoryLost, Snapshot
from pondquay_daemon.tasks import sleep, spawn

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.store import RowChange, Store

# Maximum duration of a poll, short so that an unresponsive connection is detected soon.
POLL_SECONDS = 0.9
# Bounds of the random delay after a failed call, in seconds.
RETRY_DELAY_BOUNDS = (0.1, 0.35)
# After a failed poll or a lost history, reads may be stale for a while, so the table is
# reread periodically until this time has passed.
REREAD_PERIOD_SECONDS = 10.0
REREAD_INTERVAL_SECONDS = 0.7
# Maximum fraction of time spent on rereads, which share a link with callers' requests.
MAX_REREAD_FRACTION = 0.05


class TableListener(ABC):
    """Receives the contents and changes of a table."""

    @abstractmethod
    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot, which may be older than the last change."""

    @abstractmethod
    def apply_change(self, change: RowChange) -> None:
        """Apply a change of one row."""

    def note_synced(self) -> None:
        """Record that the table responded; called before its response is applied."""
        return

    def note_disconnected(self) -> None:
        """Record that the table does not respond."""
        return


class JointListener(TableListener):
    """Passes a table's events to several listeners, in order."""

    def __init__(self, *listeners: TableListener) -> None:
        self._listeners = listeners

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Pass on a snapshot."""
        for listener in self._listeners:
            listener.apply_snapshot(snapshot)

    def apply_change(self, change: RowChange) -> None:
        """Pass on a change of one row."""
        for listener in self._listeners:
            listener.apply_change(change)

    def note_synced(self) -> None:
        """Pass on that the table responded."""
        for listener in self._listeners:
            listener.note_synced()

    def note_disconnected(self) -> None:
        """Pass on that the table does not respond."""
        for listener in self._listeners:
            listener.note_disconnected()


def list_latest(changes: Iterable[RowChange]) -> tuple[RowChange, ...]:
    """Return the change of each row that has the highest version."""
    latest: dict[str, RowChange] = {}
    for change in changes:
        known = latest.get(change.key)
        if known is None or change.version >= known.version:
            latest[change.key] = change
    return tuple(latest.values())


class TableFeed:
    """Keeps a listener up to date with a table.

    :param table: name of the table
    :param pause: returns the seconds between two polls, for tables that change often
        and whose changes are not urgent
    :param rereads: whether the table is reread while reads may be stale; unnecessary
        if every writer of a row receives its latest version
    :param latest_only: whether only the latest of several changes of a row in one
        response is applied
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: Store,
        table: str,
        listener: TableListener,
        pause: Callable[[], float] = lambda: 0.0,
        *,
        rereads: bool = True,
        latest_only: bool = False,
    ) -> None:
        self._clock = clock
        self._rereads = rereads
        self._latest_only = latest_only
        self._pause = pause
        self._store = store
        self._table = table
        self._listener = listener
        self._since: int | None = None
        self._reread_until = 0.0
        self._next_reread_at = 0.0
        self._confirmed: float | None = None
        self._succeeded: bool | None = None
        self._running = False

    def start(self) -> None:
        """Start following the table."""
        self._running = True
        spawn(self._run(), f"feed-{self._table}")

    def stop(self) -> None:
        """Stop following the table."""
        self._running = False

    @property
    def reachable(self) -> bool:
        """Whether the last call succeeded."""
        return self._succeeded is True

    @property
    def confirmed(self) -> float | None:
        """The time as of which the store last confirmed the known state, in seconds.

        It is updated after a response has been applied.
        """
        return self._confirmed

    def age(self) -> float | None:
        """Return the seconds since the last confirmation, ``None`` if there is none."""
        if self._confirmed is None:
            return None
        return self._clock.seconds() - self._confirmed

    async def _run(self) -> None:
        while self._running:
            succeeded = await self._step()
            self._log_reachability(succeeded)
            if not succeeded:
                self._listener.note_disconnected()
                await sleep(uniform(*RETRY_DELAY_BOUNDS), self._clock)
            elif pause := self._pause():
                await sleep(pause, self._clock)

    async def _step(self) -> bool:
        """Read or poll once; an error is logged and does not end the feed."""
        try:
            if self._since is None:
                return await self._read()
            return await self._poll(self._since)
        except Exception as error:
            self._log_failure(error)
            self._start_rereading()
            return False

    async def _read(self) -> bool:
        started_at = self._clock.seconds()
        reply = await self._store.read_table(self._table)
        if isinstance(reply, Unreachable):
            return False
        duration = self._clock.seconds() - started_at
        self._next_reread_at = started_at + max(
            REREAD_INTERVAL_SECONDS, duration / MAX_REREAD_FRACTION
        )
        self._listener.note_synced()
        self._listener.apply_snapshot(reply)
        self._since = max(self._since or 0, reply.version)
        self._confirmed = started_at
        return True

    async def _poll(self, since: int) -> bool:
        now = self._clock.seconds()
        if self._rereads and self._next_reread_at < now < self._reread_until:
            await self._read()
        started_at = self._clock.seconds()
        reply = await self._store.follow(self._table, since, POLL_SECONDS)
        if isinstance(reply, HistoryLost):
            log_event("history-lost", Level.WARNING, table=self._table, since=since)
            self._start_rereading()
            self._since = None
            return True
        if isinstance(reply, Unreachable):
            self._start_rereading()
            return False
        self._listener.note_synced()
        self._apply_changes(reply)
        self._confirmed = self._get_confirmed_time(reply, started_at)
        return True

    def _get_confirmed_time(self, reply: Changes, started_at: float) -> float:
        """Return the time as of which a response is certainly valid, in seconds.

        A poll without changes is valid as of its end. If its start were used, the state
        of an idle table would appear up to two polls old.
        """
        waited = self._clock.seconds() - started_at >= POLL_SECONDS
        return started_at + POLL_SECONDS if waited and not reply.changes else started_at

    def _apply_changes(self, reply: Changes) -> None:
        self._since = max(self._since or 0, reply.version)
        changes = reply.changes
        if self._latest_only:
            changes = list_latest(changes)
        for change in changes:
            try:
                self._listener.apply_change(change)
            except Exception as error:
                self._log_failure(error)

    def _log_failure(self, error: Exception) -> None:
        log_event("feed-failed", Level.ERROR, table=self._table, error=repr(error))

    def _start_rereading(self) -> None:
        self._reread_until = self._clock.seconds() + REREAD_PERIOD_SECONDS

    def _log_reachability(self, succeeded: bool) -> None:
        if succeeded is self._succeeded:
            return
        self._succeeded = succeeded
        event = "dependency-regained" if succeeded else "dependency-lost"
        level = Level.INFO if succeeded else Level.WARNING
        log_event(event, level, dependency="store", table=self._table)
