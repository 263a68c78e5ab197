"""Following tables of the store: everything once, then what changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from random import uniform
from typing import TYPE_CHECKING

from pondquay.tables import Unreachable
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.store import Changes, HistoryLost, Snapshot
from pondquay_daemon.tasks import sleep, spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay_daemon.relay.store import RowChange, Store

# A poll is short, so that a connection that has gone silent is noticed.
POLL_SECONDS = 0.9
# Pause after a failed call, drawn between the two.
PAUSE_SECONDS = (0.1, 0.35)
# After the history was lost, or the store away, reads may lag behind for a while; the
# table is read again and again until this has passed.
DOUBT_SECONDS = 10.0
REREAD_SECONDS = 0.7
# Part of the time that such reads may take: callers' requests go over the same link.
REREAD_PART = 0.05


class TableListener(ABC):
    """What is told of a table."""

    @abstractmethod
    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take in the table as a whole, perhaps older than what is known."""

    @abstractmethod
    def apply_change(self, change: RowChange) -> None:
        """Take in one row."""

    def note_synced(self) -> None:
        """Learn that the table answers; called before what it says is taken in."""
        return

    def note_disconnected(self) -> None:
        """Learn that the table does not answer."""
        return


class JointListener(TableListener):
    """Tells several listeners of one table, in order."""

    def __init__(self, *listeners: TableListener) -> None:
        self._listeners = listeners

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take in the table as a whole."""
        for one in self._listeners:
            one.apply_snapshot(snapshot)

    def apply_change(self, change: RowChange) -> None:
        """Take in one row."""
        for one in self._listeners:
            one.apply_change(change)

    def note_synced(self) -> None:
        """Learn that the table answers."""
        for one in self._listeners:
            one.note_synced()

    def note_disconnected(self) -> None:
        """Learn that the table does not answer."""
        for one in self._listeners:
            one.note_disconnected()


class TableFeed:
    """Keeps a listener up to date with a table.

    :param table: its name
    :param pause: returns the seconds between two polls, for tables that change often
        and whose news can wait
    :param rereads: whether the table is read again while there is doubt; needless where
        whoever writes a row learns its newest state
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
    ) -> None:
        self._clock = clock
        self._rereads = rereads
        self._pause = pause
        self._store = store
        self._table = table
        self._listener = listener
        self._since: int | None = None
        self._doubt_until = 0.0
        self._read_again_at = 0.0
        self._confirmed: float | None = None
        self._answered: bool | None = None
        self._running = False

    def start(self) -> None:
        """Begin to follow."""
        self._running = True
        spawn(self._run(), f"feed-{self._table}")

    def stop(self) -> None:
        """Follow no longer."""
        self._running = False

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._answered is True

    @property
    def confirmed(self) -> float | None:
        """As of when the store last confirmed what is known, in seconds.

        While an answer is taken in this is still of the one before.
        """
        return self._confirmed

    def age(self) -> float | None:
        """Seconds since the store last confirmed what is known, ``None`` if never."""
        if self._confirmed is None:
            return None
        return self._clock.seconds() - self._confirmed

    async def _run(self) -> None:
        while self._running:
            succeeded = await self._step()
            self._note(succeeded)
            if not succeeded:
                self._listener.note_disconnected()
                await sleep(uniform(*PAUSE_SECONDS), self._clock)
            elif pause := self._pause():
                await sleep(pause, self._clock)

    async def _step(self) -> bool:
        """Read or poll once; a row that nobody can read must not end the feed."""
        try:
            if self._since is None:
                return await self._read()
            return await self._poll(self._since)
        except Exception as error:
            self._log_failure(error)
            self._begin_doubt()
            return False

    async def _read(self) -> bool:
        asked = self._clock.seconds()
        reply = await self._store.read_table(self._table)
        if isinstance(reply, Unreachable):
            return False
        took = self._clock.seconds() - asked
        self._read_again_at = asked + max(REREAD_SECONDS, took / REREAD_PART)
        self._listener.note_synced()
        self._listener.apply_snapshot(reply)
        self._since = max(self._since or 0, reply.version)
        self._confirmed = asked
        return True

    async def _poll(self, since: int) -> bool:
        now = self._clock.seconds()
        if self._rereads and self._read_again_at < now < self._doubt_until:
            await self._read()
        asked = self._clock.seconds()
        reply = await self._store.follow(self._table, since, POLL_SECONDS)
        if isinstance(reply, HistoryLost):
            log_event("history-lost", Level.WARNING, table=self._table, since=since)
            self._begin_doubt()
            self._since = None
            return True
        if isinstance(reply, Unreachable):
            self._begin_doubt()
            return False
        self._listener.note_synced()
        self._take(reply)
        self._confirmed = self._date(reply, asked)
        return True

    def _date(self, reply: Changes, asked: float) -> float:
        """Return the time, in seconds, as of which an answer surely holds.

        That nothing has changed is said at the end of the poll. Dated by its start,
        what an idle table confirms all the time would seem up to two polls old.
        """
        waited = self._clock.seconds() - asked >= POLL_SECONDS
        return asked + POLL_SECONDS if waited and not reply.changes else asked

    def _take(self, reply: Changes) -> None:
        self._since = max(self._since or 0, reply.version)
        for change in reply.changes:
            try:
                self._listener.apply_change(change)
            except Exception as error:
                self._log_failure(error)

    def _log_failure(self, error: Exception) -> None:
        log_event("feed-failed", Level.ERROR, table=self._table, error=repr(error))

    def _begin_doubt(self) -> None:
        self._doubt_until = self._clock.seconds() + DOUBT_SECONDS

    def _note(self, succeeded: bool) -> None:
        if succeeded is self._answered:
            return
        self._answered = succeeded
        event = "dependency-regained" if succeeded else "dependency-lost"
        level = Level.INFO if succeeded else Level.WARNING
        log_event(event, level, dependency="store", table=self._table)
