"""Some overloaded instances withdraw, never so many that the others are flooded.

Load pattern: a balancer spreads callers by hashing, so a few instances of a domain get
half of the requests, and more bytes than their links carry.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.overload import LoadLevel
from pondquay.routing.withdrawal import (
    MAX_WITHDRAWN_FRACTION,
    MIN_OVERLOADED_SECONDS,
    MIN_WITHDRAWN_SECONDS,
    Withdrawal,
)

STEP_SECONDS = 0.1
IDLE_PEERS = dict.fromkeys(["p1", "p2", "p3"], LoadLevel.IDLE)


@dataclass
class Domain:
    """Instances that know each other's announced levels."""

    size: int
    now: float = 0.0
    levels: dict[str, LoadLevel] = field(default_factory=dict)

    def __post_init__(self) -> None:
        names = [f"i{number}" for number in range(self.size)]
        self.levels = dict.fromkeys(names, LoadLevel.IDLE)
        self.withdrawals = {name: Withdrawal(name) for name in names}

    def step(self) -> None:
        """Let all instances decide by the levels that were announced before."""
        self.now += STEP_SECONDS
        announced = {
            name: LoadLevel.WITHDRAWN if self.withdrawals[name].active else level
            for name, level in self.levels.items()
        }
        for name, withdrawal in self.withdrawals.items():
            peers = {peer: announced[peer] for peer in announced if peer != name}
            withdrawal.update(self.levels[name], peers, self.now)

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def list_withdrawn(self) -> list[str]:
        return [name for name, one in self.withdrawals.items() if one.active]


def test_overloaded_instances_withdraw_and_return() -> None:
    domain = Domain(16)
    domain.levels["i3"] = domain.levels["i7"] = LoadLevel.OVERLOADED
    domain.run_for(MIN_OVERLOADED_SECONDS + 2 * STEP_SECONDS)
    assert domain.list_withdrawn() == ["i3", "i7"]
    domain.levels["i3"] = domain.levels["i7"] = LoadLevel.IDLE
    domain.run_for(MIN_WITHDRAWN_SECONDS - 1.0)
    assert domain.list_withdrawn() == ["i3", "i7"]
    domain.run_for(1.0 + 2 * STEP_SECONDS)
    assert domain.list_withdrawn() == []


def test_a_short_overload_does_not_concern_the_balancer() -> None:
    domain = Domain(16)
    domain.levels["i3"] = LoadLevel.OVERLOADED
    domain.run_for(MIN_OVERLOADED_SECONDS - 2 * STEP_SECONDS)
    domain.levels["i3"] = LoadLevel.BUSY
    domain.run_for(2 * MIN_OVERLOADED_SECONDS)
    assert domain.list_withdrawn() == []


def test_an_instance_without_enough_peers_stays() -> None:
    domain = Domain(3)
    domain.levels["i0"] = LoadLevel.OVERLOADED
    domain.run_for(5.0)
    assert domain.list_withdrawn() == []


# Guards against an instance that returns every few seconds while its callers persist.
def test_an_instance_that_is_overloaded_again_stays_away_longer() -> None:
    withdrawal = Withdrawal("i0")
    lengths = []
    now = 0.0
    for _ in range(3):
        while not withdrawal.active:
            now += STEP_SECONDS
            withdrawal.update(LoadLevel.OVERLOADED, IDLE_PEERS, now)
        began = now
        while withdrawal.active:
            now += STEP_SECONDS
            withdrawal.update(LoadLevel.IDLE, IDLE_PEERS, now)
        lengths.append(round((now - began) / MIN_WITHDRAWN_SECONDS))
    assert lengths == [1, 2, 4]


@given(
    st.integers(1, 40),
    st.lists(st.sets(st.integers(0, 39)), min_size=1, max_size=12),
)
def test_most_instances_of_a_domain_stay(size: int, overloads: list[set[int]]) -> None:
    domain = Domain(size)
    for overloaded in overloads:
        for number in range(size):
            level = LoadLevel.OVERLOADED if number in overloaded else LoadLevel.IDLE
            domain.levels[f"i{number}"] = level
        for _ in range(15):
            domain.step()
            withdrawn = len(domain.list_withdrawn())
            assert withdrawn <= MAX_WITHDRAWN_FRACTION * size
