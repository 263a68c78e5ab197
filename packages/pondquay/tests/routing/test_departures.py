"""A state machine of a list that lags, is cut off and forgets, and of peers' news.

What must hold: once it is known here that an upstream leaves, by its own word, by a
peer's or by a row that went while the list was followed, it gets no new work after a
moment. Only a row that is newer than the one that went brings it back, and nothing does
after its own word.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.listwatch import (
    LAPSE_SECONDS,
    MISSING_GRACE_SECONDS,
    RETURN_SECONDS,
)
from pondquay.routing.upstreamrecords import Departure, UpstreamRecord

NAMES = ["u1", "u2"]
names = st.sampled_from(NAMES)
# What is final ends a name's story, so it is drawn seldom.
finally_ = st.integers(0, 9).map(lambda drawn: drawn == 9)
Rows = dict[str, tuple[UpstreamRecord, int]]


@dataclass
class Truth:
    """What this instance was told of one upstream.

    :param left_at: when it was told that it leaves, ``None`` if it was not
    :param left_version: of the news, ``None`` for good
    """

    left_at: float | None = None
    left_version: int | None = None

    def tell(self, now: float, version: int | None) -> None:
        if self.left_at is not None and self.left_version is None:
            return
        if self.left_at is None:
            self.left_at = now
        self.left_version = version

    def see_row(self, version: int) -> None:
        if self.left_version is not None and version > self.left_version:
            self.left_at = self.left_version = None


@dataclass
class Table:
    """The list as it was at each version."""

    history: list[Rows] = field(default_factory=lambda: [{}])

    @property
    def version(self) -> int:
        return len(self.history) - 1

    def write(self, rows: Rows) -> None:
        self.history.append(rows)


class DepartureMachine(RuleBasedStateMachine):
    """One directory, its table, and what it must know."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = Table()
        self.directory = UpstreamDirectory(lambda: self.now)
        self.truth = {name: Truth() for name in NAMES}
        self.followed_since: float | None = None
        self.seen = 0

    @property
    def in_order(self) -> bool:
        since = self.followed_since
        return since is not None and self.now >= since + RETURN_SECONDS

    @rule(name=names, leaving=finally_)
    def write_row(self, name: str, leaving: bool) -> None:
        version = self.table.version + 1
        record = UpstreamRecord(name, "judge", Address("10.0.0.1", 80), "a", 4, leaving)
        self.table.write({**self.table.history[-1], name: (record, version)})

    @rule(name=names)
    def delete_row(self, name: str) -> None:
        rows = dict(self.table.history[-1])
        rows.pop(name, None)
        self.table.write(rows)

    @rule()
    def follow(self) -> None:
        """Take in all changes since the last time, in order."""
        if self.followed_since is None:
            self.followed_since = self.now
        self.directory.note_synced()
        for version in range(self.seen + 1, self.table.version + 1):
            self._take_change(version)
        self.seen = self.table.version

    @rule(behind=st.integers(0, 3))
    def read_whole(self, behind: int) -> None:
        """Take in the list as a whole, perhaps as it was."""
        if self.followed_since is None:
            self.followed_since = self.now
        self.directory.note_synced()
        at = max(0, self.table.version - behind)
        rows = self.table.history[at]
        before = {one.name: one for one in self.directory.all()}
        gone = [
            name
            for name, one in before.items()
            if name not in rows and one.version <= at and one.missing_since is None
        ]
        self.directory.replace(rows, at)
        for record, version in rows.values():
            self._see(record, version)
        for name in gone:
            if self.in_order:
                self.truth[name].tell(self.now, at)

    @rule()
    def lose(self) -> None:
        """Be cut off for long enough that rows lapse."""
        self.directory.note_disconnected()
        self.now += LAPSE_SECONDS
        self.followed_since = None

    @rule(name=names, behind=st.integers(0, 3), for_good=finally_)
    def receive(self, name: str, behind: int, for_good: bool) -> None:
        """Hear a peer that knows at least as much of the row as it says."""
        version = max(0, self.table.version - behind)
        if not for_good and name in self.table.history[version]:
            return
        known = self.directory.find(name)
        if not for_good and known is not None and known.version > version:
            return
        self.directory.receive(Departure(name, None if for_good else version))
        self.truth[name].tell(self.now, None if for_good else version)

    @rule(seconds=st.sampled_from([0.1, MISSING_GRACE_SECONDS, RETURN_SECONDS]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def gives_no_work_to_those_that_leave(self) -> None:
        chosen = {one.name for one in self.directory.candidates("judge")}
        for name, truth in self.truth.items():
            if truth.left_at is None:
                continue
            late = self.now >= truth.left_at + MISSING_GRACE_SECONDS
            if truth.left_version is None or late:
                assert name not in chosen

    @invariant()
    def gives_work_to_those_that_are_listed(self) -> None:
        """Hold back nobody who is in the list as it was last followed."""
        if self.followed_since is None or self.seen != self.table.version:
            return
        chosen = {one.name for one in self.directory.candidates("judge")}
        for name in self.table.history[-1]:
            if self.truth[name].left_at is None:
                assert name in chosen

    def _take_change(self, version: int) -> None:
        before, after = self.table.history[version - 1 : version + 1]
        for name in before.keys() | after.keys():
            if name not in after:
                known = self.directory.find(name)
                vanishes = known is not None and known.missing_since is None
                self.directory.remove(name, version)
                if vanishes and self.in_order:
                    self.truth[name].tell(self.now, version)
            elif before.get(name) != after[name]:
                self.directory.put(*after[name])
                self._see(*after[name])

    def _see(self, record: UpstreamRecord, version: int) -> None:
        if record.leaving:
            self.truth[record.name].tell(self.now, None)
        self.truth[record.name].see_row(version)


TestDepartures = DepartureMachine.TestCase
TestDepartures.settings = settings(max_examples=300, stateful_step_count=50)
