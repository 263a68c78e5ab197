"""A state machine of prompts of which one part crashes upstreams.

Instances send requests, crash upstreams and hear of it late, twice and in any order.
Once they have heard of everything, all refuse the part. Requests without it are served
if their parts were served before, or as long as there are few crashes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from pondquay.routing.crashes import (
    CRASHES_TO_BLOCK,
    MAX_UPSTREAMS,
    MIN_RETRY_SECONDS,
    TRIAL_DELAYS_SECONDS,
    CrashReport,
)
from pondquay.routing.partcrashes import (
    MAX_EXPLAINED_CRASHES,
    MAX_SERVED,
    PartCrashes,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

BAD = b"bad"
FIRST, SECOND, THIRD = b"first", b"second", b"third"
SOUND = [FIRST, SECOND, THIRD]
INSTANCES = 3
numbers = st.integers(0, INSTANCES - 1)
sound_prompts = st.lists(st.sampled_from(SOUND), max_size=3, unique=True)


@dataclass
class Clock:
    now: float = 0.0

    def __call__(self) -> float:
        return self.now


@dataclass
class Instance:
    clock: Clock
    parts: PartCrashes = field(init=False)

    def __post_init__(self) -> None:
        self.parts = PartCrashes(self.clock, lambda part: True)

    def crash(self, upstream: str, *prompts: Iterable[bytes]) -> list[CrashReport]:
        """Record that prompts were about to be written as an upstream crashed."""
        suspects = {part for prompt in prompts for part in prompt}
        noted = [self.parts.history.note_crash(part, upstream) for part in suspects]
        return [report for report in noted if report is not None]


class PartCrashMachine(RuleBasedStateMachine):
    """Several instances, and all reports that were sent."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.names = count()
        self.sent: list[CrashReport] = []
        self.crashes = 0
        self.instances = [Instance(self.clock) for _ in range(INSTANCES)]

    @rule(number=numbers, others=sound_prompts, beside=sound_prompts, witness=numbers)
    def send_crashing(
        self, number: int, others: list[bytes], beside: list[bytes], witness: int
    ) -> None:
        """Send a request with the part; a sound one is about to be written as well."""
        prompt = [*others, BAD]
        if self.instances[number].parts.check(prompt) is not None:
            return
        # Beyond this bound the earliest crashes are dropped.
        if self.crashes == MAX_UPSTREAMS:
            return
        upstream = f"u{next(self.names)}"
        self.crashes += 1
        self.sent += self.instances[number].crash(upstream, prompt)
        self.sent += self.instances[witness].crash(upstream, beside)

    @rule(number=numbers, prompt=sound_prompts)
    def send_sound(self, number: int, prompt: list[bytes]) -> None:
        instance = self.instances[number]
        if instance.parts.check(prompt) is None:
            self.sent += instance.parts.note_served(prompt)

    @rule(number=numbers, index=st.integers(0, 40))
    def deliver(self, number: int, index: int) -> None:
        """Deliver a report, possibly after later reports or repeatedly."""
        if index < len(self.sent):
            self.instances[number].parts.history.receive(self.sent[index])

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        """Start an instance anew, which hears of everything from its peers."""
        known = [
            report
            for instance in self.instances
            for history in [instance.parts.history]
            for report in history.blocked() + history.suspected()
        ]
        self.instances[number] = Instance(self.clock)
        for report in known:
            self.instances[number].parts.history.receive(report)

    @rule()
    def informed_instances_refuse_the_part_and_nothing_else(self) -> None:
        for served in ([], SOUND):
            informed = self.make_informed(served)
            if served or self.crashes < MAX_EXPLAINED_CRASHES:
                for prompt in ([FIRST], [SECOND, THIRD], SOUND):
                    assert informed.parts.check(prompt) is None
            if self.crashes >= CRASHES_TO_BLOCK:
                assert informed.parts.check([*SOUND, BAD]) is not None
            if served and self.crashes >= CRASHES_TO_BLOCK:
                assert informed.parts.check([BAD]) is not None
            if self.crashes >= MAX_EXPLAINED_CRASHES:
                assert informed.parts.check([BAD]) is not None

    def teardown(self) -> None:
        self.informed_instances_refuse_the_part_and_nothing_else()

    def make_informed(self, served: list[bytes]) -> Instance:
        """Return an instance that has received all reports.

        :param served: parts that it has served before
        """
        informed = Instance(self.clock)
        informed.parts.note_served(served)
        for report in self.sent:
            informed.parts.history.receive(report)
        return informed


TestPartCrashes = PartCrashMachine.TestCase


@pytest.fixture
def instance() -> Instance:
    """Return an instance that knows nothing."""
    return Instance(Clock())


def crash_all(instance: Instance, *prompts: Iterable[bytes], first: int = 0) -> None:
    for number in range(first, first + CRASHES_TO_BLOCK):
        instance.crash(f"u{number}", *prompts)


# Guards against ever new requests with a part that crashes upstreams.
def test_a_part_is_refused_whatever_else_the_requests_contain(
    instance: Instance,
) -> None:
    for number in range(CRASHES_TO_BLOCK):
        instance.crash(f"u{number}", [b"%d" % number, BAD])
    assert instance.parts.check([b"another", BAD]) is not None


# Guards against refusals of all requests of a caller whose prompts begin alike.
def test_a_part_that_always_accompanies_another_is_not_refused_without_it(
    instance: Instance,
) -> None:
    crash_all(instance, [FIRST, BAD])
    assert instance.parts.check([FIRST, BAD]) is not None
    assert instance.parts.check([FIRST, SECOND]) is None


# Guards against a part that is let through as another one shares all its crashes.
def test_one_more_crash_without_the_accompanying_part_decides(
    instance: Instance,
) -> None:
    crash_all(instance, [FIRST, BAD])
    assert instance.parts.check([SECOND, BAD]) is None
    instance.crash("u9", [SECOND, BAD])
    assert instance.parts.check([SECOND, BAD]) is not None
    assert instance.parts.check([FIRST, SECOND]) is None


# Guards against blame on a frequent part that was lost in an unrelated crash as well.
def test_a_part_that_was_served_before_is_less_likely_to_crash_upstreams(
    instance: Instance,
) -> None:
    instance.parts.note_served([FIRST])
    crash_all(instance, [FIRST, BAD])
    instance.crash("u9", [FIRST])
    assert instance.parts.check([FIRST, SECOND]) is None
    assert instance.parts.check([SECOND, BAD]) is not None


# Guards against a part that begins to crash upstreams, such as after an update.
def test_a_part_that_was_served_before_is_refused_if_nothing_else_explains_it(
    instance: Instance,
) -> None:
    instance.parts.note_served([BAD])
    for number in range(CRASHES_TO_BLOCK):
        instance.crash(f"u{number}", [b"%d" % number, BAD])
    assert instance.parts.check([BAD]) is not None


# Guards against a part that is let through as parts which are never served, and have
# crashed upstreams with an earlier one, explain its crashes together.
def test_several_parts_do_not_explain_the_crashes_of_another_together(
    instance: Instance,
) -> None:
    for number, other in enumerate(3 * SOUND):
        instance.crash(f"u{number}", [other, b"earlier"])
    for number, other in enumerate(SOUND):
        instance.crash(f"u{number + 20}", [other, BAD])
    for other in SOUND:
        assert instance.parts.check([other, BAD]) is not None


def test_two_parts_that_crash_different_upstreams_are_both_refused(
    instance: Instance,
) -> None:
    crash_all(instance, [FIRST, BAD])
    crash_all(instance, [SECOND, THIRD], first=10)
    assert instance.parts.check([FIRST, BAD]) is not None
    assert instance.parts.check([SECOND, THIRD]) is not None
    assert instance.parts.check([FIRST, SECOND]) is None


def test_a_served_request_clears_its_parts(instance: Instance) -> None:
    crash_all(instance, [FIRST, BAD])
    (report,) = instance.parts.note_served([FIRST, SECOND])
    assert report.content == FIRST
    assert not report.suspected
    assert instance.parts.check([BAD]) is not None


def test_parts_that_are_refused_together_get_one_trial(instance: Instance) -> None:
    crash_all(instance, [FIRST, BAD])
    prompt = [FIRST, BAD]
    assert instance.parts.start_trial(prompt) is None
    trials = 0
    for _ in range(10):
        instance.clock.now += TRIAL_DELAYS_SECONDS[-1]
        trials += instance.parts.start_trial(prompt) is not None
    assert trials == len(TRIAL_DELAYS_SECONDS)


def test_a_refused_caller_gets_the_time_until_the_next_trial(
    instance: Instance,
) -> None:
    crash_all(instance, [BAD])
    blocked = instance.parts.check([BAD])
    assert blocked is not None
    assert blocked.retry_after == TRIAL_DELAYS_SECONDS[0] > MIN_RETRY_SECONDS


def test_memory_of_served_parts_is_bounded(instance: Instance) -> None:
    for number in range(MAX_SERVED + 10):
        instance.parts.note_served([b"%d" % number])
    assert len(instance.parts.served) == MAX_SERVED
