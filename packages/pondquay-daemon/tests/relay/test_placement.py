"""Prompts are placed by pace once it was observed, unless this is switched off."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from pondquay.addresses import Address
from pondquay.policy import RelayPolicy
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.expected import Reason, Target
from pondquay.routing.prompts import PromptPart
from pondquay.routing.rendezvous import choose_by_prompt
from pondquay.routing.servicepaces import PaceTable
from pondquay.routing.upstreamrecords import UpstreamRecord
from pondquay_daemon.relay.placement import Placement

PROMPT = (PromptPart("shared", 5_000), PromptPart("own", 2_000))
TARGET = Target(objective=0.8, pause=0.5)
PACE = 1e-5
RUNNING = 20


class Side:
    """A placement over some upstreams, of which the first in rank is busy."""

    def __init__(self, policy: RelayPolicy, scale: float = 2.0) -> None:
        clock: Any = Clock()
        self.directory = UpstreamDirectory(clock.seconds)
        for number in range(4):
            address = Address(f"10.0.0.{number}", 80)
            record = UpstreamRecord(f"u{number}", "judge", address, "a", 64)
            self.directory.put(record, 1)
        allowing: Any = SimpleNamespace(allows=lambda _upstream, _now: True)
        unused: Any = None
        activity: Any = SimpleNamespace(scale=scale)
        self.placement = Placement(
            clock, self.directory, "a", policy, allowing, unused, activity
        )
        self.first = choose_by_prompt(self.directory.all(), PROMPT, 0.0)
        self.first.activity.receive("peer", RUNNING, RUNNING * 7_000)

    def observe(self) -> None:
        for upstream in self.directory.all():
            upstream.pace.reading.note(PACE, 0.0)

    def choose(self, prompt: tuple[PromptPart, ...] = PROMPT) -> tuple[bool, Reason]:
        """Return whether the first in rank is chosen, and the reason."""
        choice = self.placement.choose("judge", prompt, TARGET, ())
        assert choice is not None
        return choice.upstream is self.first, choice.reason


def test_load_of_the_fleet_moves_a_prompt_once_the_pace_is_known() -> None:
    side = Side(RelayPolicy())
    assert side.choose() == (True, Reason.FIRST_IN_RANK)
    side.observe()
    assert side.choose() == (False, Reason.LOADED)


def test_the_estimate_counts_the_peers_that_are_not_heard() -> None:
    side = Side(RelayPolicy())
    side.observe()
    choice = side.placement.choose("judge", PROMPT, TARGET, {"u0", "u1", "u2", "u3"})
    assert choice is None
    others = {upstream.name for upstream in side.directory.all()} - {side.first.name}
    choice = side.placement.choose("judge", PROMPT, TARGET, others)
    assert choice is not None
    assert choice.running == 2 * RUNNING


def test_with_the_setting_off_prompts_are_placed_by_rank() -> None:
    side = Side(RelayPolicy(weigh_pace=False))
    side.observe()
    assert side.choose() == (True, Reason.FIRST_IN_RANK)


# Guards against cached parts that move in a small fleet, where all instances hear of
# all prompts that wait.
def test_in_a_small_fleet_prompts_move_only_if_upstreams_differ() -> None:
    side = Side(RelayPolicy(), scale=1.0)
    side.observe()
    assert side.choose() == (True, Reason.FIRST_IN_RANK)
    slow = next(upstream for upstream in side.directory.all() if upstream != side.first)
    for _ in range(20):
        slow.pace.reading.note(4 * PACE, 0.0)
    side.placement._paces = PaceTable()
    assert side.choose() == (False, Reason.LOADED)


@pytest.mark.parametrize("weigh_pace", [True, False])
def test_requests_without_a_prompt_go_to_the_nearest(weigh_pace: bool) -> None:
    side = Side(RelayPolicy(weigh_pace=weigh_pace))
    side.observe()
    assert side.choose(())[1] is Reason.NEAREST
