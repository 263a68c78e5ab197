"""What an attempt observes of its upstream's pace and load."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.task import Clock

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.pace import normalize_first, normalize_interval
from pondquay.routing.prompts import PromptPart
from pondquay.routing.upstreamrecords import UpstreamRecord
from pondquay_daemon.relay.observers import OBSERVED_INTERVALS, UpstreamObserver
from pondquay_daemon.relay.prefills import Prefill

if TYPE_CHECKING:
    from collections.abc import Iterable

PROMPT = (PromptPart("shared", 5_000), PromptPart("own", 2_000))
RUNNING = 10


@dataclass
class Activity:
    """Records what is announced."""

    readings: list[float] = field(default_factory=list)
    intervals: list[float] = field(default_factory=list)
    counts: list[tuple[int, int]] = field(default_factory=list)

    def note_changed(self, upstream: KnownUpstream) -> None:
        self.counts.append((upstream.running, upstream.activity.tokens))

    def note_reading(self, _upstream: KnownUpstream, pace: float) -> None:
        self.readings.append(pace)

    def note_interval(self, _upstream: KnownUpstream, pace: float) -> None:
        self.intervals.append(pace)

    def count_running(self, _upstream: KnownUpstream) -> float:
        return RUNNING


class Side:
    """An attempt's observer with the components that it needs."""

    def __init__(self, prompt: tuple[PromptPart, ...] = PROMPT) -> None:
        self.clock = Clock()
        self.activity = Activity()
        components: Any = SimpleNamespace(
            clock=self.clock,
            activity=self.activity,
            directory=UpstreamDirectory(self.clock.seconds),
            announce_load=lambda _upstream, _parts: None,
        )
        record = UpstreamRecord("u1", "judge", Address("10.0.0.1", 80), "a", 64)
        self.upstream = KnownUpstream(record, 1)
        self.prefill = Prefill(components, self.upstream, prompt, None)
        self.observer = UpstreamObserver(
            components, self.upstream, self.prefill, 0.5, lambda: None
        )

    def pause(self, intervals: Iterable[float]) -> None:
        for seconds in intervals:
            self.observer.on_pause(seconds)


def test_a_request_counts_with_its_tokens_until_it_ends() -> None:
    side = Side()
    with side.prefill:
        pass
    assert side.activity.counts == [(1, 7_000), (0, 0)]


def test_the_time_to_the_response_is_observed_once() -> None:
    side = Side()
    side.upstream.prompts.receive("peer", 3_000)
    with side.prefill:
        side.clock.advance(0.2)
        side.observer.on_response()
        side.observer.on_response()
    assert side.activity.readings == [normalize_first(0.2, 10_000)]


def test_a_rejected_request_says_nothing_of_the_pace() -> None:
    side = Side()
    with side.prefill:
        side.clock.advance(0.2)
        side.observer.on_data()
    assert side.activity.readings == []


def test_a_request_without_a_prompt_is_not_observed() -> None:
    side = Side(prompt=())
    with side.prefill:
        side.observer.on_response()
    assert (side.activity.readings, side.activity.counts) == ([], [])


# An upstream seemed thirty times as quick and got a tenth of all prompts.
def test_events_that_are_read_late_do_not_make_an_upstream_seem_quick() -> None:
    side = Side()
    late = 0.04 * OBSERVED_INTERVALS
    side.pause([late, *[0.0] * (OBSERVED_INTERVALS - 1)])
    (pace,) = side.activity.intervals
    assert pace == pytest.approx(normalize_interval(0.04, RUNNING))


def test_the_interval_is_observed_for_several_events_together() -> None:
    side = Side()
    side.pause([0.04] * (2 * OBSERVED_INTERVALS - 1))
    assert len(side.activity.intervals) == 1
