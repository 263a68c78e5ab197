"""A state machine of a list that lags, disconnects and loses rows, and of peers.

A leaving upstream must get no new requests, until a newer row restores it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.listwatch import (
    MIN_ROW_EXPIRY_SECONDS,
    MISSING_GRACE_SECONDS,
    ROW_RECOVERY_SECONDS,
)
from pondquay.routing.upstreamrecords import Departure, UpstreamRecord

NAMES = ["u1", "u2"]
names = st.sampled_from(NAMES)
# A final departure ends all checks of an upstream, so it is drawn rarely.
rarely_true = st.integers(0, 9).map(lambda drawn: drawn == 9)
Rows = dict[str, tuple[UpstreamRecord, int]]


@dataclass
class Expected:
    """What the instance must know about one upstream.

    :param left_at: since when the departure must be known, ``None`` if there is none
    :param left_version: version of the departure, ``None`` if it is final
    """

    left_at: float | None = None
    left_version: int | None = None

    def note_departure(self, now: float, version: int | None) -> None:
        if self.left_at is not None and self.left_version is None:
            return
        if self.left_at is None:
            self.left_at = now
        self.left_version = version

    def note_row(self, version: int) -> None:
        if self.left_version is not None and version > self.left_version:
            self.left_at = self.left_version = None


@dataclass
class Table:
    """The list at each of its versions."""

    history: list[Rows] = field(default_factory=lambda: [{}])

    @property
    def version(self) -> int:
        return len(self.history) - 1

    def write(self, rows: Rows) -> None:
        self.history.append(rows)


class DepartureMachine(RuleBasedStateMachine):
    """One directory, its table, and the expected state."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = Table()
        self.directory = UpstreamDirectory(lambda: self.now)
        self.expected = {name: Expected() for name in NAMES}
        self.synced_since: float | None = None
        self.applied = 0

    @property
    def removals_are_departures(self) -> bool:
        """Whether the list has been synced long enough for expired rows to return."""
        since = self.synced_since
        return since is not None and self.now >= since + ROW_RECOVERY_SECONDS

    @rule(name=names, leaving=rarely_true)
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
        """Apply all changes that have not been applied, in order."""
        if self.synced_since is None:
            self.synced_since = self.now
        self.directory.note_synced()
        for version in range(self.applied + 1, self.table.version + 1):
            self._apply_change(version)
        self.applied = self.table.version

    @rule(behind=st.integers(0, 3))
    def read_snapshot(self, behind: int) -> None:
        """Apply a snapshot of the list, which may be outdated."""
        if self.synced_since is None:
            self.synced_since = self.now
        self.directory.note_synced()
        at = max(0, self.table.version - behind)
        rows = self.table.history[at]
        before = {upstream.name: upstream for upstream in self.directory.all()}
        removed = [
            name
            for name, upstream in before.items()
            if name not in rows
            and upstream.version <= at
            and upstream.missing_since is None
        ]
        self.directory.replace(rows, at)
        for record, version in rows.values():
            self._expect_row(record, version)
        for name in removed:
            if self.removals_are_departures:
                self.expected[name].note_departure(self.now, at)

    @rule()
    def disconnect(self) -> None:
        """Disconnect for long enough that rows may expire."""
        self.directory.note_disconnected()
        self.now += MIN_ROW_EXPIRY_SECONDS
        self.synced_since = None

    @rule(name=names, behind=st.integers(0, 3), is_final=rarely_true)
    def receive(self, name: str, behind: int, is_final: bool) -> None:
        """Receive a peer's departure that is not older than the known row."""
        version = max(0, self.table.version - behind)
        if not is_final and name in self.table.history[version]:
            return
        known = self.directory.find(name)
        if not is_final and known is not None and known.version > version:
            return
        self.directory.receive(Departure(name, None if is_final else version))
        self.expected[name].note_departure(self.now, None if is_final else version)

    @rule(seconds=st.sampled_from([0.1, MISSING_GRACE_SECONDS, ROW_RECOVERY_SECONDS]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def leaving_upstreams_get_no_requests(self) -> None:
        chosen = {upstream.name for upstream in self.directory.candidates("judge")}
        for name, expected in self.expected.items():
            if expected.left_at is None:
                continue
            late = self.now >= expected.left_at + MISSING_GRACE_SECONDS
            if expected.left_version is None or late:
                assert name not in chosen

    @invariant()
    def listed_upstreams_get_requests(self) -> None:
        """Check that no upstream in the list as last synced is excluded."""
        if self.synced_since is None or self.applied != self.table.version:
            return
        chosen = {upstream.name for upstream in self.directory.candidates("judge")}
        for name in self.table.history[-1]:
            if self.expected[name].left_at is None:
                assert name in chosen

    def _apply_change(self, version: int) -> None:
        before, after = self.table.history[version - 1 : version + 1]
        for name in before.keys() | after.keys():
            if name not in after:
                known = self.directory.find(name)
                is_removed = known is not None and known.missing_since is None
                self.directory.remove(name, version)
                if is_removed and self.removals_are_departures:
                    self.expected[name].note_departure(self.now, version)
            elif before.get(name) != after[name]:
                self.directory.put(*after[name])
                self._expect_row(*after[name])

    def _expect_row(self, record: UpstreamRecord, version: int) -> None:
        if record.leaving:
            self.expected[record.name].note_departure(self.now, None)
        self.expected[record.name].note_row(version)


TestDepartures = DepartureMachine.TestCase
TestDepartures.settings = settings(max_examples=300, stateful_step_count=50)
