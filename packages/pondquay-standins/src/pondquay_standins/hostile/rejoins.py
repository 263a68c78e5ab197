"""Runs in which streams are taken up after all relays were killed at once.

Nothing that a relay knew survives the kill. Callers take broken streams up at other
relays, while replicas of the version that began the streams have left, or serve on.
What the callers receive tells whether streams were joined from two versions.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from pondquay_standins.hostile.releasefleet import ReleaseFleet
from pondquay_standins.hostile.releases import RELEASES, OneVersion, TwoVersions
from pondquay_standins.hostile.resumingcallers import ResumingCaller, TakeUpOutcome

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pondquay_standins.hostile.resumingcallers import ResumedStream

CALLERS = 24
DEFAULT_ROUNDS = 4
# Fraction of the streams that go on if one version serves all along, and if two do.
MIN_CONTINUED_FRACTIONS = {OneVersion.name: 0.9, TwoVersions.name: 0.5}
RELEASES_BY_NAME = {release.name: release for release in RELEASES}


@dataclass(frozen=True, slots=True)
class RejoinPlan:
    """What a run does.

    :param release: name of a release
    :param rounds: how often all relays are killed
    :param environment: extra environment variables of the relays
    """

    release: str
    seed: int
    rounds: int = DEFAULT_ROUNDS
    environment: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RejoinResult:
    """What a run found.

    :ivar streams: number of streams that had an event
    :ivar outcomes: how often streams that were taken up had an outcome
    :ivar joined: streams with events of several versions
    :ivar misordered: streams with missing or repeated events, or without their end
    """

    plan: RejoinPlan
    streams: int
    outcomes: Counter[TakeUpOutcome]
    joined: Sequence[ResumedStream]
    misordered: Sequence[ResumedStream]

    @property
    def taken_up(self) -> int:
        """How often streams were taken up."""
        return self.outcomes.total()

    @property
    def findings(self) -> list[str]:
        """A line for each stream that broke a rule, and for too few that went on."""
        findings = [f"two versions: {stream}" for stream in self.joined]
        findings += [f"not in order: {stream}" for stream in self.misordered]
        continued = self.outcomes[TakeUpOutcome.CONTINUED]
        fraction = MIN_CONTINUED_FRACTIONS.get(self.plan.release, 0.0)
        if continued < fraction * self.taken_up:
            findings.append(f"only {continued} of {self.taken_up} went on")
        return findings

    @property
    def passed(self) -> bool:
        """Whether the rules were kept."""
        return not self.findings

    def __str__(self) -> str:
        verdict = "passed" if self.passed else "failed"
        counts = ", ".join(
            f"{self.outcomes[outcome]} {outcome.value}" for outcome in TakeUpOutcome
        )
        return (
            f"{self.plan.release} seed {self.plan.seed}: {self.streams} streams, "
            f"{self.taken_up} taken up, {len(self.joined)} joined, "
            f"{len(self.misordered)} misordered, {counts}: {verdict}"
        )


def list_rejoin_plans(seed: int) -> list[RejoinPlan]:
    """Return a plan for each release."""
    return [RejoinPlan(name, seed) for name in RELEASES_BY_NAME]


def run_rejoins(plan: RejoinPlan) -> RejoinResult:
    """Kill all relays several times while callers take streams up."""
    random = Random(plan.seed)
    with ReleaseFleet(random, plan.environment) as fleet:
        release = RELEASES_BY_NAME[plan.release](fleet, random)
        release.start()
        fleet.start()
        callers = [
            ResumingCaller(
                f"c{number}",
                plan.seed * 100 + number,
                lambda: [(relay.name, relay.port) for relay in fleet.relays.values()],
            )
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        for _ in range(plan.rounds):
            release.play_round()
        for caller in callers:
            caller.stop()
        for caller in callers:
            caller.join()
    streams = [
        stream for caller in callers for stream in caller.streams if stream.last_event
    ]
    return RejoinResult(
        plan,
        len(streams),
        Counter(outcome for stream in streams for outcome in stream.outcomes),
        [stream for stream in streams if stream.is_joined],
        [stream for stream in streams if stream.is_misordered],
    )
