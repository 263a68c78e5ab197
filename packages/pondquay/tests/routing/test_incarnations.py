"""A state machine of upstreams that restart under the same name.

Ended incarnations must get no requests, and the listed one must not inherit what was
observed of them. Rows arrive late and twice, and clocks of hosts jump.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.listwatch import MIN_ROW_EXPIRY_SECONDS, ROW_RECOVERY_SECONDS
from pondquay.routing.prompts import PromptPart
from pondquay.routing.upstreamrecords import (
    Departure,
    UpstreamRecord,
    name_incarnation,
)

NAMES = ["u1", "u2"]
# Longer than any period in which a missing row may return.
LONG_MISSING_SECONDS = 10.0
names = st.sampled_from(NAMES)
start_times = st.integers(0, 5)
Rows = dict[str, tuple[UpstreamRecord, int]]


def make_record(name: str, born: int, *, leaving: bool) -> UpstreamRecord:
    address = Address("10.0.0.1", 80)
    return UpstreamRecord(name, "judge", address, "a", 4, leaving, born=born)


class IncarnationMachine(RuleBasedStateMachine):
    """One directory, the list at each of its versions, and ended incarnations.

    :ivar ended: incarnations that must get no more requests
    :ivar received_rows: incarnation and version of the newest row received of each name
    :ivar applied: version of the list up to which its changes have been applied
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.directory = UpstreamDirectory(lambda: self.now)
        self.history: list[Rows] = [{}]
        self.born: dict[str, set[int]] = {name: set() for name in NAMES}
        self.ended: set[str] = set()
        self.received_rows: dict[str, tuple[str, int]] = {}
        self.applied = 0
        self.is_following = False
        self.backoffs: dict[str, float] = {}

    @property
    def version(self) -> int:
        return len(self.history) - 1

    def write(self, record: UpstreamRecord) -> None:
        row = (record, self.version + 1)
        self.history.append({**self.history[-1], record.name: row})

    @rule(name=names, born=start_times)
    def start(self, name: str, born: int) -> None:
        """Start an incarnation, later or earlier by the clock of its host."""
        if born not in self.born[name]:
            self.born[name].add(born)
            self.write(make_record(name, born, leaving=False))

    @rule(name=names, leaving=st.integers(0, 3).map(lambda drawn: drawn == 3))
    def write_again(self, name: str, leaving: bool) -> None:
        if name in self.history[-1]:
            born = self.history[-1][name][0].born
            self.write(make_record(name, born or 0, leaving=leaving))

    @rule(name=names)
    def delete_row(self, name: str) -> None:
        rows = dict(self.history[-1])
        rows.pop(name, None)
        self.history.append(rows)

    @rule()
    def follow(self) -> None:
        self.directory.note_synced()
        for version in range(self.applied + 1, self.version + 1):
            before, after = self.history[version - 1 : version + 1]
            for name in before.keys() | after.keys():
                if name not in after:
                    self.directory.remove(name, version)
                elif before.get(name) != after[name]:
                    self._put(*after[name])
        self.applied = self.version
        self.is_following = True

    @rule(behind=st.integers(0, 4))
    def read_snapshot(self, behind: int) -> None:
        self.directory.note_synced()
        at = max(0, self.version - behind)
        for record, version in self.history[at].values():
            self._expect_row(record, version)
        self.directory.replace(self.history[at], at)

    @rule(name=names, behind=st.integers(0, 6))
    def receive_old_row(self, name: str, behind: int) -> None:
        """Receive a row late or repeatedly."""
        row = self.history[max(0, self.version - behind)].get(name)
        if row is not None:
            self._put(*row)

    @rule(name=names, born=start_times)
    def receive_announced_departure(self, name: str, born: int) -> None:
        """Receive the departure of any incarnation that is not listed."""
        listed = self.history[-1].get(name)
        if listed is not None and listed[0].born == born:
            return
        if born in self.born[name]:
            departure = Departure(name, None, born)
            self.directory.receive(departure)
            self.ended.add(departure.incarnation)

    @rule(name=names, behind=st.integers(0, 6))
    def receive_removal(self, name: str, behind: int) -> None:
        at = max(1, self.version - behind)
        row = self.history[at - 1].get(name)
        if row is not None and name not in self.history[min(at, self.version)]:
            self.directory.receive(Departure(name, at, row[0].born))

    @rule()
    def disconnect(self) -> None:
        self.directory.note_disconnected()
        self.now += MIN_ROW_EXPIRY_SECONDS
        self.is_following = False

    @rule(seconds=st.sampled_from([0.1, ROW_RECOVERY_SECONDS]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=names)
    def observe(self, name: str) -> None:
        """Record a failure and a cached part of the listed incarnation."""
        known = self.directory.find_listed(name)
        if known is not None:
            known.circuit.fail(self.now)
            known.prompts.note_prefilled([known.name])

    @rule(name=names, born=start_times, seconds=st.sampled_from([0.05, 1.0, 30.0]))
    def request_backoff(self, name: str, born: int, seconds: float) -> None:
        """Record a back-off of an incarnation, which may have been replaced."""
        known = self.directory.find(name_incarnation(name, born))
        if known is not None:
            known.note_backoff(seconds, self.now)
            end = max(self.backoffs.get(known.name, 0.0), self.now + seconds)
            self.backoffs[known.name] = end

    @invariant()
    def only_incarnations_that_requested_it_are_in_backoff(self) -> None:
        for known in self.directory.all():
            expected = self.now < self.backoffs.get(known.name, 0.0)
            assert known.in_backoff(self.now) is expected

    @invariant()
    def ended_incarnations_get_no_requests(self) -> None:
        chosen = {upstream.name for upstream in self.directory.candidates("judge")}
        assert not chosen & self.ended

    @invariant()
    def the_listed_incarnation_gets_requests(self) -> None:
        if not self.is_following or self.applied != self.version:
            return
        chosen = {upstream.name for upstream in self.directory.candidates("judge")}
        for record, _ in self.history[-1].values():
            assert record.incarnation in chosen or record.incarnation in self.ended

    @invariant()
    def observations_are_kept_by_incarnation(self) -> None:
        for known in self.directory.all():
            others = {f"{known.record.name}@{born}" for born in range(6)}
            others.discard(known.name)
            for other in others:
                assert known.prompts.count_uncached([PromptPart(other, 1)]) == 1

    def _put(self, record: UpstreamRecord, version: int) -> None:
        self._expect_row(record, version)
        self.directory.put(record, version)

    def _expect_row(self, record: UpstreamRecord, version: int) -> None:
        """Record the incarnations that a row ends: its own or the previous one."""
        if record.leaving:
            self.ended.add(record.incarnation)
        before, newest = self.received_rows.get(record.name, ("", 0))
        if version <= newest:
            return
        if before and before != record.incarnation:
            self.ended.add(before)
        self.received_rows[record.name] = (record.incarnation, version)


TestIncarnations = IncarnationMachine.TestCase
TestIncarnations.settings = settings(max_examples=300, stateful_step_count=40)


def test_a_new_incarnation_is_used_after_the_previous_one_has_left() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.put(make_record("u1", 5, leaving=True), 1)
    assert directory.candidates("judge") == []
    directory.put(make_record("u1", 9, leaving=False), 2)
    assert [upstream.name for upstream in directory.candidates("judge")] == ["u1@9"]


def test_an_old_row_does_not_add_an_earlier_incarnation() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.put(make_record("u1", 9, leaving=False), 7)
    directory.put(make_record("u1", 5, leaving=False), 3)
    assert [upstream.name for upstream in directory.candidates("judge")] == ["u1@9"]


def test_an_unreadable_row_excludes_its_upstream_until_it_is_written_again() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.note_synced()
    directory.put(make_record("u1", 5, leaving=False), 1)
    directory.discard("u1", 2)
    assert directory.candidates("judge") == []
    directory.put(make_record("u1", 5, leaving=False), 3)
    assert [upstream.name for upstream in directory.candidates("judge")] == ["u1@5"]


def test_a_row_removed_since_still_ends_the_previous_incarnation() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.note_synced()
    directory.put(make_record("u1", 0, leaving=False), 1)
    directory.replace({}, 3)
    directory.put(make_record("u1", 1, leaving=False), 2)
    assert directory.candidates("judge") == []


def test_a_row_that_returns_does_not_end_a_backoff() -> None:
    now = [0.0]
    directory = UpstreamDirectory(lambda: now[0])
    directory.note_synced()
    directory.put(make_record("u1", 5, leaving=False), 1)
    known = directory.find_listed("u1")
    assert known is not None
    known.note_backoff(30.0, now[0])
    directory.remove("u1", 2)
    now[0] += LONG_MISSING_SECONDS
    directory.remove("u2", 3)
    directory.put(make_record("u1", 5, leaving=False), 4)
    assert [upstream.in_backoff(now[0]) for upstream in directory.all()] == [True]
