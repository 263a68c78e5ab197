"""Simulation of how parts of prompts that crash upstreams are found.

Each draw sends requests with one crashing part until it is refused. With each crash
some sound requests are about to be written as well, and between two crashes some
complete. It compares rules by the crashes that they take, and by the sound requests
that they refuse once the part is refused.

    python -m pondquay_lab.partruns
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from random import Random
from statistics import fmean
from typing import TYPE_CHECKING

from pondquay.routing.crashes import CRASHES_TO_BLOCK
from pondquay.routing.partcrashes import PartCrashes
from pondquay.routing.waitingparts import WaitingPartCrashes

if TYPE_CHECKING:
    from collections.abc import Sequence

DRAWS = 100
# Sound requests that are about to be written when an upstream crashes.
NEIGHBOURS = (1, 8, 64)
# Sound requests that complete between two crashes.
COMPLETED = (0, 2, 20)
# Requests that were served before the first crash.
SERVED_BEFORE = 200
FIRST_PARTS = 5
SECOND_PARTS = 80
CRASHING_PART = b"crashing"
# Requests whose verdicts are compared after the part is refused.
SAMPLE = 50
CRASH_INTERVAL_SECONDS = 1.0
# Upstreams that end together for another reason.
ENDING_TOGETHER = 10
# A rule that has not refused the part by then never does.
MAX_CRASHES = 20


class Rule(ABC):
    """Decides which requests to refuse."""

    @abstractmethod
    def note_crash(self, upstream: str, prompts: Sequence[list[bytes]]) -> None:
        """Record which prompts were about to be written as an upstream crashed."""

    @abstractmethod
    def note_served(self, prompt: list[bytes]) -> None:
        """Record that a request was served."""

    @abstractmethod
    def refuses(self, prompt: list[bytes]) -> bool:
        """Return whether a request is refused."""


class CountRule(Rule):
    """Refuses each part with enough crashes since it was last served."""

    def __init__(self) -> None:
        self.parts = PartCrashes(lambda: 0.0, lambda part: False)

    def note_crash(self, upstream: str, prompts: Sequence[list[bytes]]) -> None:
        """Count the crash for all parts of the prompts."""
        for part in {part for prompt in prompts for part in prompt}:
            self.parts.history.note_crash(part, upstream)

    def note_served(self, prompt: list[bytes]) -> None:
        """Clear all parts of the prompt."""
        self.parts.note_served(prompt)

    def refuses(self, prompt: list[bytes]) -> bool:
        """Return whether any part has enough crashes."""
        return any(self.parts.history.check(part) for part in prompt)


class ServedRule(CountRule):
    """Like ``CountRule``, but never suspects a part that was served before."""

    def __init__(self) -> None:
        super().__init__()
        self._served: set[bytes] = set()

    def note_served(self, prompt: list[bytes]) -> None:
        """Remember and clear all parts of the prompt."""
        super().note_served(prompt)
        self._served.update(prompt)

    def refuses(self, prompt: list[bytes]) -> bool:
        """Return whether any part that was never served has enough crashes."""
        return super().refuses([part for part in prompt if part not in self._served])


class ExplanationRule(CountRule):
    """The rule in use: crashes that another part explains do not count."""

    def refuses(self, prompt: list[bytes]) -> bool:
        """Return whether any part is blamed."""
        return self.parts.check(prompt) is not None


class WaitingRule(Rule):
    """The rule in use for upstreams that crash before a response begins."""

    def __init__(self) -> None:
        self._now = 0.0
        self._begun = PartCrashes(lambda: self._now, lambda part: False)
        self.parts = WaitingPartCrashes(
            lambda: self._now, lambda part: False, self._begun
        )

    def note_crash(self, upstream: str, prompts: Sequence[list[bytes]]) -> None:
        """Count the crash for all parts that may be suspected."""
        self.note_simultaneous_crash(upstream, prompts)
        self._now += CRASH_INTERVAL_SECONDS

    def note_simultaneous_crash(
        self, upstream: str, prompts: Sequence[list[bytes]]
    ) -> None:
        """Count a crash, at the time of the next one."""
        parts = {part for prompt in prompts for part in prompt}
        for part in self.parts.select_suspects(parts):
            self.parts.history.note_crash(part, upstream)

    def note_served(self, prompt: list[bytes]) -> None:
        """Clear all parts of the prompt."""
        self._begun.note_served(prompt)
        self.parts.note_served(prompt)

    def refuses(self, prompt: list[bytes]) -> bool:
        """Return whether any part is blamed."""
        return self.parts.check(prompt) is not None


RULES: tuple[type[Rule], ...] = (CountRule, ServedRule, ExplanationRule, WaitingRule)


@dataclass(frozen=True, slots=True)
class Load:
    """The requests beside those with the crashing part.

    :param neighbours: sound requests that are lost with each crash
    :param completed: sound requests that complete between two crashes
    :param warm: whether requests were served before the first crash
    :param served_once: whether the crashing part was served before
    """

    neighbours: int
    completed: int
    warm: bool = True
    served_once: bool = False


@dataclass(slots=True)
class PartTotals:
    """Results of all draws with one rule and load.

    :ivar crashes: crashes of each draw until the part was refused
    :ivar refused: fraction of sound requests that were refused then, of each draw
    """

    crashes: list[int] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)


def run_draws(rule: type[Rule], load: Load, draws: int = DRAWS) -> PartTotals:
    """Return the results of some draws, which depend on the load alone."""
    totals = PartTotals()
    for seed in range(draws):
        crashes, refused = _run_draw(rule(), load, Random(seed))
        totals.crashes.append(crashes)
        totals.refused.append(refused)
    return totals


def _run_draw(rule: Rule, load: Load, random: Random) -> tuple[int, float]:
    for _ in range(SERVED_BEFORE if load.warm else 0):
        rule.note_served(_draw_sound(random))
    if load.served_once:
        rule.note_served([CRASHING_PART])
    crashes = 0
    while crashes < MAX_CRASHES:
        crashing = _draw_crashing(random)
        if not rule.refuses(crashing):
            beside = [_draw_sound(random) for _ in range(load.neighbours)]
            rule.note_crash(f"u{crashes}", [crashing, *beside])
            crashes += 1
        elif crashes >= CRASHES_TO_BLOCK:
            break
        for _ in range(load.completed):
            _send_sound(rule, random)
    sound = [_draw_sound(random) for _ in range(SAMPLE)]
    return crashes, fmean(rule.refuses(prompt) for prompt in sound)


def run_joint_ends(load: Load, draws: int = DRAWS) -> list[float]:
    """End several upstreams at once, with requests that wait there.

    :returns: the fraction of sound requests that are refused then, of each draw
    """
    refused = []
    for seed in range(draws):
        random, rule = Random(seed), WaitingRule()
        for _ in range(SERVED_BEFORE if load.warm else 0):
            rule.note_served(_draw_sound(random))
        for number in range(ENDING_TOGETHER):
            waiting = [_draw_sound(random) for _ in range(load.neighbours)]
            rule.note_simultaneous_crash(f"u{number}", waiting)
        sound = [_draw_sound(random) for _ in range(SAMPLE)]
        refused.append(fmean(rule.refuses(prompt) for prompt in sound))
    return refused


def _send_sound(rule: Rule, random: Random) -> None:
    prompt = _draw_sound(random)
    if not rule.refuses(prompt):
        rule.note_served(prompt)


def _draw_sound(random: Random) -> list[bytes]:
    first, second = random.randrange(FIRST_PARTS), random.randrange(SECOND_PARTS)
    return [b"first-%d" % first, b"second-%d" % second]


def _draw_crashing(random: Random) -> list[bytes]:
    """Return a prompt in which the part follows one or both others of a sound one."""
    return [*_draw_sound(random)[: random.randint(1, 2)], CRASHING_PART]


def main() -> None:
    """Print the results of all rules and loads."""
    print(f"{DRAWS} draws; crashes (mean, most), sound requests refused")
    for load in list_loads():
        for rule in RULES:
            totals = run_draws(rule, load)
            print(
                f"{load}: {rule.__name__}: {fmean(totals.crashes):.2f} "
                f"{max(totals.crashes)} {fmean(totals.refused):.4f}",
                flush=True,
            )
    for load in list_loads():
        print(f"{load}: joint ends: {fmean(run_joint_ends(load)):.4f}", flush=True)


def list_loads() -> list[Load]:
    """Return the loads of the comparison."""
    loads = [
        Load(neighbours, completed)
        for neighbours in NEIGHBOURS
        for completed in COMPLETED
    ]
    cold = [Load(neighbours, 2, warm=False) for neighbours in NEIGHBOURS]
    return [*loads, *cold, Load(8, 2, served_once=True)]


if __name__ == "__main__":
    main()
