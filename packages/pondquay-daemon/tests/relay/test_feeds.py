"""Following a table through failed calls, a lost history and rereads."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from pondquay.tables import Row, Unreachable
from pondquay_daemon.relay.feeds import REREAD_PERIOD_SECONDS, TableFeed, TableListener
from pondquay_daemon.relay.store import Changes, HistoryLost, RowChange, Snapshot
from pondquay_daemon.tasks import sleep


@dataclass
class ScriptedStore:
    """A store that returns scripted replies, then empty changes."""

    clock: Any = field(default_factory=MemoryReactorClock)
    reads: list[Any] = field(default_factory=list)
    polls: list[Any] = field(default_factory=list)
    requests: list[int | None] = field(default_factory=list)
    last: Any = None
    read_seconds: float = 0.0

    async def read_table(self, table: str) -> Any:
        self.requests.append(None)
        if self.read_seconds:
            await sleep(self.read_seconds, self.clock)
        if self.reads:
            self.last = self.reads.pop(0)
        return self.last

    async def follow(self, table: str, since: int, wait: float) -> Any:
        self.requests.append(since)
        if self.polls:
            return self.polls.pop(0)
        waiting: Deferred[None] = Deferred()
        self.clock.callLater(wait, waiting.callback, None)
        await waiting
        return Changes((), since)


@dataclass
class RecordingListener(TableListener):
    """Records the keys of rows; raises an error at the row ``bad``."""

    keys: list[str] = field(default_factory=list)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        self.keys += [row.key for row in snapshot.rows]

    def apply_change(self, change: RowChange) -> None:
        if change.key == "bad":
            raise KeyError("bad")
        self.keys.append(change.key)


def follow(script: ScriptedStore) -> tuple[RecordingListener, TableFeed, Any]:
    listener = RecordingListener()
    feed = TableFeed(script.clock, script, "servers", listener)  # type: ignore[arg-type]
    feed.start()
    script.clock.advance(0)
    return listener, feed, script.clock


def test_without_rereads_a_table_is_read_once_after_its_history_is_lost() -> None:
    script = ScriptedStore(
        reads=[Snapshot((), 2)], polls=[HistoryLost(), Changes((), 5)]
    )
    listener = RecordingListener()
    store: Any = script
    feed = TableFeed(script.clock, store, "budgets", listener, rereads=False)
    feed.start()
    for _ in range(int(REREAD_PERIOD_SECONDS)):
        script.clock.advance(1.0)
    assert script.requests.count(None) == 2


def change(key: str, version: int) -> Changes:
    return Changes((RowChange(key, version, {}),), version)


def test_a_table_is_read_once_and_then_followed() -> None:
    script = ScriptedStore(
        reads=[Snapshot((Row("a", 1, {}),), 3)],
        polls=[change("b", 4), change("c", 6)],
    )
    listener, feed, _ = follow(script)
    assert listener.keys == ["a", "b", "c"]
    assert script.requests == [None, 3, 4, 6]
    assert feed.reachable


def test_a_table_is_reread_for_a_while_after_its_history_is_lost() -> None:
    old = Snapshot((Row("a", 1, {}),), 2)
    new = Snapshot((Row("a", 1, {}), Row("b", 5, {})), 5)
    script = ScriptedStore(reads=[old, old, new], polls=[HistoryLost(), Changes((), 5)])
    listener, _, clock = follow(script)
    for _ in range(int(REREAD_PERIOD_SECONDS)):
        clock.advance(1.0)
    assert "b" in listener.keys
    assert script.requests.count(None) >= 3


def test_a_table_that_is_slow_to_read_is_reread_less_often() -> None:
    script = ScriptedStore(
        reads=[Snapshot((), 2)], polls=[HistoryLost()], read_seconds=0.25
    )
    _, _, clock = follow(script)
    for _ in range(int(REREAD_PERIOD_SECONDS / 0.25)):
        clock.advance(0.25)
    # At the start, after the history is lost, and up to twice while rereading.
    assert 3 <= script.requests.count(None) <= 4


def test_the_position_in_the_feed_never_decreases() -> None:
    script = ScriptedStore(
        reads=[Snapshot((), 9), Snapshot((), 4)], polls=[HistoryLost()]
    )
    follow(script)
    assert script.requests[-1] in (4, 9)
    assert script.requests[:2] == [None, 9]


def test_a_row_that_raises_an_error_does_not_end_the_feed() -> None:
    script = ScriptedStore(
        reads=[Snapshot((), 1)], polls=[change("bad", 2), change("good", 3)]
    )
    listener, _, clock = follow(script)
    clock.advance(1.0)
    assert listener.keys == ["good"]


def test_an_unreachable_store_is_retried_after_a_delay() -> None:
    script = ScriptedStore(reads=[Unreachable(), Snapshot((), 1)])
    _, feed, clock = follow(script)
    assert not feed.reachable
    assert feed.age() is None
    clock.advance(1.0)
    assert feed.reachable
    assert feed.age() is not None


# In a large fleet a poll returns many changes of the same few rows.
def test_only_the_latest_change_of_each_row_is_applied_if_that_is_enough() -> None:
    changes = [("a", 4), ("b", 5), ("a", 7), ("bad", 6), ("c", 3), ("b", 2)]
    reply = Changes(tuple(RowChange(key, version, {}) for key, version in changes), 7)
    applied: list[tuple[str, int]] = []

    class Listener(RecordingListener):
        def apply_change(self, change: RowChange) -> None:
            applied.append((change.key, change.version))
            super().apply_change(change)

    script = ScriptedStore(reads=[Snapshot((), 1)], polls=[reply])
    store: Any = script
    feed = TableFeed(script.clock, store, "budgets", Listener(), latest_only=True)
    feed.start()
    assert sorted(applied) == [("a", 7), ("b", 5), ("bad", 6), ("c", 3)]
    assert script.requests == [None, 1, 7]
