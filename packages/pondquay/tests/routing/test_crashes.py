"""A state machine of crash reports that are late, lost or duplicated.

A content under which three upstreams crashed is refused until it completes, and
instances with the same reports agree, regardless of their order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import combinations, count
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.routing.crashes import (
    BLOCKED_RETRY_SECONDS,
    CRASH_WINDOW_SECONDS,
    CRASHES_TO_BLOCK,
    MAX_BLOCKED,
    MAX_REPORT_AGE_SECONDS,
    MAX_SUSPECTED,
    MAX_UPSTREAMS,
    MIN_RETRY_SECONDS,
    RETENTION_SECONDS,
    TRIAL_DELAYS_SECONDS,
    Blocked,
    CrashHistory,
    CrashReport,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

CONTENTS = [b"a", b"b", b"c"]
INSTANCES = 3
# Number of runs of a refused content, none of which completes. One that is lost without
# a crash is repeated.
MAX_TRIALS = 3
contents = st.sampled_from(CONTENTS)
numbers = st.integers(0, INSTANCES - 1)


@dataclass
class Clock:
    now: float = 0.0

    def __call__(self) -> float:
        return self.now


def make_history(
    clock: Clock | None = None, *, may_run_trial: bool = True
) -> CrashHistory:
    return CrashHistory(clock or Clock(), lambda content: may_run_trial)


@dataclass
class Expected:
    """The expected state of one content, with the actual times of its crashes."""

    crashed: dict[str, float] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    trials: int = 0
    cleared_trials: int = 0
    lost_trial: int = 0

    def is_refused(self) -> bool:
        times = [at for name, at in self.crashed.items() if name not in self.cleared]
        return are_related(times)


def are_related(times: Iterable[float]) -> bool:
    """Return whether enough crashes to refuse a content are within the window."""
    return any(
        max(group) - min(group) <= CRASH_WINDOW_SECONDS
        for group in combinations(times, CRASHES_TO_BLOCK)
    )


@dataclass
class Instance:
    history: CrashHistory
    expected: dict[bytes, Expected] = field(
        default_factory=lambda: {content: Expected() for content in CONTENTS}
    )

    def receive(self, sent: SentReport, now: float) -> None:
        """Receive a report, whose ages include the time in transit."""
        report = sent.at(now)
        self.history.receive(report)
        self.expect(report, now)

    def expect(self, report: CrashReport, now: float) -> None:
        """Update the expected state with a report."""
        expected = self.expected[report.content]
        uncleared = [now - report.age(name) for name in report.crashed - report.cleared]
        for name in report.crashed:
            if are_related(uncleared) or report.age(name) <= MAX_REPORT_AGE_SECONDS:
                expected.crashed[name] = now - report.age(name)
        expected.cleared |= report.cleared
        expected.trials = max(expected.trials, report.trials)
        expected.cleared_trials = max(expected.cleared_trials, report.cleared_trials)
        expected.lost_trial = max(expected.lost_trial, report.lost_trial)


@dataclass(frozen=True)
class SentReport:
    """A report in transit, with the time at which it was sent."""

    report: CrashReport
    sent_at: float

    def at(self, now: float) -> CrashReport:
        ages = {
            name: self.report.age(name) + now - self.sent_at
            for name in self.report.crashed
        }
        return replace(self.report, ages=ages)


class CrashMachine(RuleBasedStateMachine):
    """Several instances, and all reports that were sent."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.names = count()
        self.sent: list[SentReport] = []
        self.instances = [self.make_instance(n) for n in range(INSTANCES)]

    def make_instance(self, number: int) -> Instance:
        history = CrashHistory(self.clock, lambda content: content[0] % 3 == number)
        return Instance(history)

    def send(self, instance: Instance, report: CrashReport | None) -> None:
        if report is not None:
            self.sent.append(SentReport(report, self.clock.now))
            instance.expect(report, self.clock.now)

    @rule(number=numbers, content=contents)
    def crash(self, number: int, content: bytes) -> None:
        instance = self.instances[number]
        if instance.history.check(content) is None:
            report = instance.history.note_crash(content, f"u{next(self.names)}")
            assert report is not None
            self.send(instance, report)

    @rule(number=numbers, content=contents)
    def serve(self, number: int, content: bytes) -> None:
        instance = self.instances[number]
        self.send(instance, instance.history.note_served(content))
        assert instance.history.check(content) is None

    @rule(
        number=numbers,
        content=contents,
        outcome=st.sampled_from(["crash", "loss", "response"]),
    )
    def run_trial(self, number: int, content: bytes, outcome: str) -> None:
        instance = self.instances[number]
        report = instance.history.start_trial(content)
        self.send(instance, report)
        if report is None:
            return
        trials = report.trials - report.cleared_trials
        is_lost = report.lost_trial > report.cleared_trials
        assert 1 <= trials <= len(TRIAL_DELAYS_SECONDS) + is_lost
        assert instance.history.start_trial(content) is None
        if outcome == "crash":
            name = f"u{next(self.names)}"
            self.send(instance, instance.history.note_crash(content, name))
        elif outcome == "loss":
            self.send(instance, instance.history.note_trial_lost(report))
        else:
            self.serve(number, content)

    @rule(number=numbers, index=st.integers(0, 30))
    def deliver(self, number: int, index: int) -> None:
        """Deliver a report, possibly after later reports or repeatedly."""
        if index < len(self.sent):
            self.instances[number].receive(self.sent[index], self.clock.now)

    @rule(number=numbers, sender=numbers)
    def link(self, number: int, sender: int) -> None:
        history = self.instances[sender].history
        for report in history.blocked() + history.suspected():
            self.instances[number].receive(
                SentReport(report, self.clock.now), self.clock.now
            )

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.instances[number] = self.make_instance(number)

    @rule(
        seconds=st.sampled_from(
            [1.0, *TRIAL_DELAYS_SECONDS, CRASH_WINDOW_SECONDS - 1.0]
        )
    )
    def wait(self, seconds: float) -> None:
        self.clock.now += seconds

    @invariant()
    def each_instance_refuses_the_contents_that_its_reports_imply(self) -> None:
        for instance in self.instances:
            for content in CONTENTS:
                expected = instance.expected[content]
                if len(expected.crashed) > MAX_UPSTREAMS:
                    continue
                refused = instance.history.check(content) is not None
                assert refused is expected.is_refused()

    @invariant()
    def each_instance_counts_the_trials_that_its_reports_imply(self) -> None:
        for instance in self.instances:
            for content, expected in instance.expected.items():
                known = instance.history.find(content) or CrashReport(
                    content, frozenset()
                )
                assert known.trial_numbers == (
                    expected.trials,
                    expected.cleared_trials,
                    expected.lost_trial,
                )


TestCrashes = CrashMachine.TestCase


def test_the_order_in_which_reports_arrive_does_not_matter() -> None:
    """Three crashes, all older than 600 s, are related; two of them are relayed.

    The state must be the same, whichever of two relayed reports arrives first.
    """
    clock = Clock()
    first, last = make_history(clock), make_history(clock)
    last_report = last.note_crash(b"a", "u3")
    assert last_report is not None
    crash(first, b"a", "u1", "u2")
    crash(first, b"b", "u4")
    clock.now += 482.0
    relay = make_history(clock)
    reports = first.suspected()
    for report in reports:
        relay.receive(report)
    clock.now += 120.0
    relayed = relay.suspected()
    for order in (relayed, relayed[::-1]):
        receiver = make_history(clock)
        receiver.receive(replace(last_report, ages={"u3": 602.0}))
        for report in order:
            receiver.receive(report)
        assert receiver.check(b"a") is not None
        known = receiver.find(b"a")
        assert known is not None
        assert known.ages == {"u1": 602.0, "u2": 602.0, "u3": 602.0}


def test_crashes_outside_the_window_are_unrelated() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1")
    clock.now += CRASH_WINDOW_SECONDS + 1.0
    crash(history, b"a", "u2", "u3")
    assert history.check(b"a") is None
    crash(history, b"a", "u4")
    assert history.check(b"a") is not None


def test_a_repeatedly_relayed_suspicion_expires() -> None:
    clock = Clock()
    ring = [make_history(clock) for _ in range(4)]
    crash(ring[0], b"a", "u1")
    for turn in range(60):
        clock.now += 60.0
        for report in ring[turn % 4].suspected():
            ring[(turn + 1) % 4].receive(report)
    assert [history.suspected() for history in ring] == [[], [], [], []]


def crash(history: CrashHistory, content: bytes, *upstreams: str) -> None:
    for upstream in upstreams:
        history.note_crash(content, upstream)


def test_several_crashes_of_an_upstream_count_once() -> None:
    history = make_history()
    crash(history, b"a", "u1", "u1", "u1", "u2")
    assert history.check(b"a") is None
    crash(history, b"a", "u3")
    assert history.check(b"a") is not None


def test_a_harmless_request_that_completes_elsewhere_is_not_refused() -> None:
    history = make_history()
    crash(history, b"beside", "u1", "u2")
    history.note_served(b"beside")
    crash(history, b"beside", "u3", "u4")
    assert history.check(b"beside") is None


def test_a_refused_content_gets_a_few_trials_at_one_instance_only() -> None:
    clock = Clock()
    runner, other = make_history(clock), make_history(clock, may_run_trial=False)
    for history in (runner, other):
        crash(history, b"a", "u1", "u2", "u3")
    assert runner.start_trial(b"a") is None
    trials = 0
    for _ in range(100):
        clock.now += TRIAL_DELAYS_SECONDS[-1]
        assert other.start_trial(b"a") is None
        trials += runner.start_trial(b"a") is not None
    assert trials == len(TRIAL_DELAYS_SECONDS)
    assert runner.check(b"a") is not None


def test_a_trial_that_did_not_run_is_started_again() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    for _ in range(10 * len(TRIAL_DELAYS_SECONDS)):
        clock.now += TRIAL_DELAYS_SECONDS[0]
        started = history.start_trial(b"a")
        assert started is not None
        assert started.trials == 1
        assert history.start_trial(b"a") is None
        history.return_trial(started)
        assert history.start_trial(b"a") is None
        assert history.check(b"a") == Blocked(MIN_RETRY_SECONDS)
    trials = 0
    for _ in range(10):
        clock.now += TRIAL_DELAYS_SECONDS[-1]
        trials += history.start_trial(b"a") is not None
    assert trials == len(TRIAL_DELAYS_SECONDS)


def test_the_last_trial_can_be_returned_as_well() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    started: CrashReport | None = None
    for _ in TRIAL_DELAYS_SECONDS:
        clock.now += TRIAL_DELAYS_SECONDS[-1]
        started = history.start_trial(b"a")
    assert started is not None
    assert history.check(b"a") == Blocked(BLOCKED_RETRY_SECONDS)
    history.return_trial(started)
    assert history.check(b"a") == Blocked(MIN_RETRY_SECONDS)
    clock.now += MIN_RETRY_SECONDS
    assert history.start_trial(b"a") is not None
    assert history.check(b"a") == Blocked(BLOCKED_RETRY_SECONDS)


def test_a_crash_delays_a_returned_trial_as_it_delays_the_first() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    clock.now += TRIAL_DELAYS_SECONDS[0]
    started = history.start_trial(b"a")
    assert started is not None
    history.return_trial(started)
    crash(history, b"a", "u4")
    assert history.check(b"a") == Blocked(TRIAL_DELAYS_SECONDS[0])


def test_a_trial_is_not_returned_after_another_or_after_a_run() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    clock.now += TRIAL_DELAYS_SECONDS[0]
    started = history.start_trial(b"a")
    assert started is not None
    history.receive(replace(started, trials=started.trials + 1))
    history.return_trial(started)
    assert history.check(b"a") == Blocked(BLOCKED_RETRY_SECONDS)
    history.note_served(b"a")
    history.return_trial(started)
    assert history.check(b"a") is None


def test_refused_callers_get_the_delay_until_the_next_trial() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    clock.now += 4.0
    blocked = history.check(b"a")
    assert blocked is not None
    assert blocked.retry_after == TRIAL_DELAYS_SECONDS[0] - 4.0


# Guards against a trial that each start of the instance that runs it delays anew.
def test_an_instance_that_learns_late_counts_the_delay_from_the_last_crash() -> None:
    clock = Clock()
    witness, runner = make_history(clock), make_history(clock)
    for name in ("u1", "u2", "u3"):
        clock.now += 1.0
        crash(witness, b"a", name)
    clock.now += 7.0
    (report,) = witness.blocked()
    runner.receive(report)
    assert runner.check(b"a") == Blocked(TRIAL_DELAYS_SECONDS[0] - 7.0)
    clock.now += TRIAL_DELAYS_SECONDS[0] - 7.0
    assert runner.start_trial(b"a") is not None


def test_cleared_crashes_do_not_delay_a_trial() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    clock.now += 4.0
    cleared = frozenset({"u4"})
    history.receive(CrashReport(b"a", cleared, cleared))
    assert history.check(b"a") == Blocked(TRIAL_DELAYS_SECONDS[0] - 4.0)


def test_the_delay_of_the_second_trial_counts_from_when_the_first_is_known() -> None:
    clock = Clock()
    witness, runner = make_history(clock), make_history(clock)
    crash(witness, b"a", "u1", "u2", "u3")
    clock.now += TRIAL_DELAYS_SECONDS[0]
    started = witness.start_trial(b"a")
    assert started is not None
    runner.receive(started)
    assert runner.check(b"a") == Blocked(TRIAL_DELAYS_SECONDS[1])


# Guards against a content that is refused for minutes, as trials from before it was
# cleared still count.
def test_trials_begin_anew_once_a_content_is_cleared() -> None:
    clock = Clock()
    runner, other = make_history(clock), make_history(clock, may_run_trial=False)
    crash(runner, b"a", "u1", "u2", "u3")
    clock.now += TRIAL_DELAYS_SECONDS[0]
    started = runner.start_trial(b"a")
    cleared = runner.note_served(b"a")
    assert started is not None
    assert cleared is not None
    other.receive(started)
    clock.now += 4.0
    crash(other, b"a", "u4", "u5", "u6")
    other.receive(cleared)
    (report,) = other.blocked()
    runner.receive(report)
    for history in (runner, other):
        assert history.check(b"a") == Blocked(TRIAL_DELAYS_SECONDS[0])
    trials = 0
    for _ in range(10):
        clock.now += TRIAL_DELAYS_SECONDS[-1]
        trials += runner.start_trial(b"a") is not None
    assert trials == len(TRIAL_DELAYS_SECONDS)


# Guards against endless trials of a content whose crashes are not noticed.
def test_only_one_trial_that_is_lost_without_a_crash_is_repeated() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    clock.now += TRIAL_DELAYS_SECONDS[0]
    started = history.start_trial(b"a")
    assert started is not None
    assert history.note_trial_lost(started) is not None
    assert history.check(b"a") == Blocked(TRIAL_DELAYS_SECONDS[0])
    clock.now += TRIAL_DELAYS_SECONDS[0]
    started = history.start_trial(b"a")
    assert started is not None
    assert history.note_trial_lost(started) is None
    assert history.check(b"a") == Blocked(TRIAL_DELAYS_SECONDS[1])
    trials = 2
    for _ in range(10):
        clock.now += TRIAL_DELAYS_SECONDS[-1]
        started = history.start_trial(b"a")
        if started is not None:
            trials += 1
            assert history.note_trial_lost(started) is None
    assert trials == MAX_TRIALS
    assert history.check(b"a") == Blocked(BLOCKED_RETRY_SECONDS)


# Guards against a fourth run of a content that crashes upstreams, as a trial is lost
# beside one that crashes an upstream on the other side of a partition.
def test_a_lost_trial_counts_once_another_trial_has_crashed_an_upstream() -> None:
    clock = Clock()
    sides = make_history(clock), make_history(clock)
    for side in sides:
        crash(side, b"a", "u1", "u2", "u3")
    clock.now += TRIAL_DELAYS_SECONDS[0]
    lost, crashed = (side.start_trial(b"a") for side in sides)
    assert lost is not None
    assert crashed is not None
    loss = sides[0].note_trial_lost(lost)
    crashes = sides[1].note_crash(b"a", "u4")
    assert loss is not None
    assert crashes is not None
    sides[0].receive(crashes)
    sides[1].receive(loss)
    trials = len(sides)
    for _ in range(10):
        clock.now += TRIAL_DELAYS_SECONDS[-1]
        started = sides[0].start_trial(b"a")
        if started is not None:
            trials += 1
            sides[0].note_crash(b"a", f"u{4 + trials}")
    assert trials == MAX_TRIALS


def test_a_loss_does_not_repeat_a_trial_that_is_not_the_latest() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    clock.now += TRIAL_DELAYS_SECONDS[0]
    started = history.start_trial(b"a")
    assert started is not None
    history.receive(replace(started, trials=started.trials + 1))
    assert history.note_trial_lost(started) is None
    assert history.check(b"a") == Blocked(BLOCKED_RETRY_SECONDS)


def test_a_lost_trial_is_repeated_again_once_the_content_was_cleared() -> None:
    clock = Clock()
    history = make_history(clock)
    for turn in range(2):
        crash(history, b"a", *(f"u{turn}{number}" for number in range(3)))
        clock.now += TRIAL_DELAYS_SECONDS[0]
        started = history.start_trial(b"a")
        assert started is not None
        assert history.note_trial_lost(started) is not None
        history.note_served(b"a")
        assert history.check(b"a") is None


def test_suspected_contents_expire_but_refused_contents_do_not() -> None:
    clock = Clock()
    history = make_history(clock)
    crash(history, b"a", "u1", "u2", "u3")
    crash(history, b"b", "u1")
    clock.now += RETENTION_SECONDS + 1.0
    crash(history, b"c", "u4")
    assert [report.content for report in history.suspected()] == [b"c"]
    assert history.check(b"a") is not None


def test_memory_is_bounded() -> None:
    history = make_history()
    for number in range(MAX_SUSPECTED + 100):
        crash(history, b"%d" % number, "u1")
    for number in range(MAX_BLOCKED + 100):
        crash(history, b"blocked%d" % number, "u1", "u2", "u3")
    for number in range(10 * MAX_UPSTREAMS):
        crash(history, b"blocked", f"u{number}")
    assert len(history.suspected()) <= MAX_SUSPECTED
    assert len(history.blocked()) <= MAX_BLOCKED
    known = history.find(b"blocked")
    assert known is not None
    assert known.blocked
    assert len(known.crashed) <= MAX_UPSTREAMS
