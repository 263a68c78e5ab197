"""A state machine of upstreams that start again under their names.

Rows come late, doubled, whole and old; clocks of hosts jump, so a later life may have
been born earlier. What must hold: a life that said that it leaves, and one that another
followed in its row, get no new work ever again, whatever late word of which side comes;
the life that the list names gets work; it starts with nothing learnt of the others; and
a life that asked to back off is left alone to the end of the longest time, while it is
known and also where its row goes and comes back, and no other life is.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.listwatch import LAPSE_SECONDS, RETURN_SECONDS
from pondquay.routing.prompts import PromptPart
from pondquay.routing.upstreamrecords import Departure, UpstreamRecord, name_incarnation

NAMES = ["u1", "u2"]
# More than any time for which a row that is gone may come back.
LONG_GONE_SECONDS = 10.0
names = st.sampled_from(NAMES)
borns = st.integers(0, 5)
Rows = dict[str, tuple[UpstreamRecord, int]]


def make_record(name: str, born: int, *, leaving: bool) -> UpstreamRecord:
    address = Address("10.0.0.1", 80)
    return UpstreamRecord(name, "judge", address, "a", 4, leaving, born=born)


class IncarnationMachine(RuleBasedStateMachine):
    """One directory, the list at each of its versions, and what has ended."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.directory = UpstreamDirectory(lambda: self.now)
        self.history: list[Rows] = [{}]
        self.born: dict[str, set[int]] = {name: set() for name in NAMES}
        self.ended: set[str] = set()
        self.seen_rows: dict[str, tuple[str, int]] = {}
        self.seen = 0
        self.in_order = False
        self.backoffs: dict[str, float] = {}

    @property
    def version(self) -> int:
        return len(self.history) - 1

    def write(self, record: UpstreamRecord) -> None:
        row = (record, self.version + 1)
        self.history.append({**self.history[-1], record.name: row})

    @rule(name=names, born=borns)
    def start_incarnation(self, name: str, born: int) -> None:
        """Start anew, after or before by the clock of its host."""
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
        for version in range(self.seen + 1, self.version + 1):
            before, after = self.history[version - 1 : version + 1]
            for name in before.keys() | after.keys():
                if name not in after:
                    self.directory.remove(name, version)
                elif before.get(name) != after[name]:
                    self._put(*after[name])
        self.seen = self.version
        self.in_order = True

    @rule(behind=st.integers(0, 4))
    def read_whole(self, behind: int) -> None:
        self.directory.note_synced()
        at = max(0, self.version - behind)
        for record, version in self.history[at].values():
            self._see(record, version)
        self.directory.replace(self.history[at], at)

    @rule(name=names, back=st.integers(0, 6))
    def see_old_row(self, name: str, back: int) -> None:
        """A row that is late or comes once more."""
        row = self.history[max(0, self.version - back)].get(name)
        if row is not None:
            self._put(*row)

    @rule(name=names, born=borns)
    def hear_that_one_leaves(self, name: str, born: int) -> None:
        """Hear it of any life but the one that is listed, which still serves."""
        listed = self.history[-1].get(name)
        if listed is not None and listed[0].born == born:
            return
        if born in self.born[name]:
            departure = Departure(name, None, born)
            self.directory.receive(departure)
            self.ended.add(departure.incarnation)

    @rule(name=names, back=st.integers(0, 6))
    def hear_that_a_row_went(self, name: str, back: int) -> None:
        at = max(1, self.version - back)
        row = self.history[at - 1].get(name)
        if row is not None and name not in self.history[min(at, self.version)]:
            self.directory.receive(Departure(name, at, row[0].born))

    @rule()
    def lose(self) -> None:
        self.directory.note_disconnected()
        self.now += LAPSE_SECONDS
        self.in_order = False

    @rule(seconds=st.sampled_from([0.1, RETURN_SECONDS]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(name=names)
    def fail(self, name: str) -> None:
        """Learn something of the life that is listed."""
        known = self.directory.find_listed(name)
        if known is not None:
            known.circuit.fail(self.now)
            known.prompts.note_prefilled([known.name])

    @rule(name=names, born=borns, seconds=st.sampled_from([0.05, 1.0, 30.0]))
    def ask_to_back_off(self, name: str, born: int, seconds: float) -> None:
        """Have a life ask, also late, once another has followed."""
        known = self.directory.find(name_incarnation(name, born))
        if known is not None:
            known.note_backoff(seconds, self.now)
            end = max(self.backoffs.get(known.name, 0.0), self.now + seconds)
            self.backoffs[known.name] = end

    @invariant()
    def leaves_those_alone_that_asked_for_it(self) -> None:
        for known in self.directory.all():
            backs_off = self.now < self.backoffs.get(known.name, 0.0)
            assert known.in_backoff(self.now) is backs_off

    @invariant()
    def gives_no_work_to_lives_that_ended(self) -> None:
        chosen = {one.name for one in self.directory.candidates("judge")}
        assert not chosen & self.ended

    @invariant()
    def gives_work_to_the_life_that_is_listed(self) -> None:
        if not self.in_order or self.seen != self.version:
            return
        chosen = {one.name for one in self.directory.candidates("judge")}
        for record, _ in self.history[-1].values():
            assert record.incarnation in chosen or record.incarnation in self.ended

    @invariant()
    def learnt_nothing_of_another_incarnation(self) -> None:
        for known in self.directory.all():
            others = {f"{known.record.name}@{born}" for born in range(6)}
            others.discard(known.name)
            for other in others:
                assert known.prompts.count_uncached([PromptPart(other, 1)]) == 1

    def _put(self, record: UpstreamRecord, version: int) -> None:
        self._see(record, version)
        self.directory.put(record, version)

    def _see(self, record: UpstreamRecord, version: int) -> None:
        """Note which life a row ends: its own if it leaves, or the one before."""
        if record.leaving:
            self.ended.add(record.incarnation)
        before, at = self.seen_rows.get(record.name, ("", 0))
        if version <= at:
            return
        if before and before != record.incarnation:
            self.ended.add(before)
        self.seen_rows[record.name] = (record.incarnation, version)


TestIncarnations = IncarnationMachine.TestCase
TestIncarnations.settings = settings(max_examples=300, stateful_step_count=40)


def test_a_new_life_is_used_after_the_one_before_has_left() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.put(make_record("u1", 5, leaving=True), 1)
    assert directory.candidates("judge") == []
    directory.put(make_record("u1", 9, leaving=False), 2)
    assert [one.name for one in directory.candidates("judge")] == ["u1@9"]


def test_an_old_row_does_not_bring_a_life_back_that_was_never_known() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.put(make_record("u1", 9, leaving=False), 7)
    directory.put(make_record("u1", 5, leaving=False), 3)
    assert [one.name for one in directory.candidates("judge")] == ["u1@9"]


def test_a_row_that_is_overwritten_names_nothing_until_its_upstream_writes() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.note_synced()
    directory.put(make_record("u1", 5, leaving=False), 1)
    directory.discard("u1", 2)
    assert directory.candidates("judge") == []
    directory.put(make_record("u1", 5, leaving=False), 3)
    assert [one.name for one in directory.candidates("judge")] == ["u1@5"]


def test_a_row_that_is_gone_by_now_still_ends_the_life_before() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    directory.note_synced()
    directory.put(make_record("u1", 0, leaving=False), 1)
    directory.replace({}, 3)
    directory.put(make_record("u1", 1, leaving=False), 2)
    assert directory.candidates("judge") == []


def test_a_row_that_comes_back_does_not_end_a_backoff() -> None:
    now = [0.0]
    directory = UpstreamDirectory(lambda: now[0])
    directory.note_synced()
    directory.put(make_record("u1", 5, leaving=False), 1)
    known = directory.find_listed("u1")
    assert known is not None
    known.note_backoff(30.0, now[0])
    directory.remove("u1", 2)
    now[0] += LONG_GONE_SECONDS
    directory.remove("u2", 3)
    directory.put(make_record("u1", 5, leaving=False), 4)
    assert [one.in_backoff(now[0]) for one in directory.all()] == [True]
