"""A state machine of evacuated domains with late, lost, old and relayed updates.

An instance must apply the newest state of each domain that it has received.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.routing.evacuations import Evacuation, Evacuations

DOMAINS = ["a", "b", "c"]
INSTANCES = 3
domains = st.sampled_from(DOMAINS)
numbers = st.integers(0, INSTANCES - 1)
Rows = dict[str, int]


@dataclass
class Instance:
    """The state of one instance.

    :param synced_to: version up to which it has followed the table
    :param received: newest version that it has received for each domain
    """

    known: Evacuations = field(default_factory=lambda: Evacuations(lambda: 0.0))
    synced_to: int | None = None
    received: dict[str, int] = field(default_factory=dict)

    def note_received(self, domain: str, version: int) -> None:
        self.received[domain] = max(version, self.received.get(domain, 0))


class EvacuationMachine(RuleBasedStateMachine):
    """The table at each of its versions, and the instances."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[Rows] = [{}]
        self.instances = [Instance() for _ in range(INSTANCES)]

    @property
    def version(self) -> int:
        return len(self.history) - 1

    @rule(domain=domains)
    def evacuate(self, domain: str) -> None:
        self.history.append({**self.history[-1], domain: self.version + 1})

    @rule(domain=domains)
    def restore(self, domain: str) -> None:
        rows = dict(self.history[-1])
        rows.pop(domain, None)
        self.history.append(rows)

    @rule(number=numbers, behind=st.integers(0, 4))
    def read_snapshot(self, number: int, behind: int) -> None:
        instance = self.instances[number]
        at = max(0, self.version - behind)
        instance.known.replace(self.history[at], at)
        instance.synced_to = max(at, instance.synced_to or 0)
        for domain in DOMAINS:
            instance.note_received(domain, at)

    @rule(number=numbers)
    def follow(self, number: int) -> None:
        instance = self.instances[number]
        if instance.synced_to is None:
            return
        for version in range(instance.synced_to + 1, self.version + 1):
            before, after = self.history[version - 1], self.history[version]
            for domain in DOMAINS:
                if before.get(domain) != after.get(domain):
                    instance.known.merge(Evacuation(domain, version, domain in after))
                instance.note_received(domain, version)
        instance.synced_to = self.version
        assert instance.known.evacuated == set(self.history[-1])

    @rule(sender=numbers, receiver=numbers)
    def send_updates(self, sender: int, receiver: int) -> None:
        for update in self.instances[sender].known.updates():
            self.instances[receiver].known.merge(update)
            self.instances[receiver].note_received(update.domain, update.version)

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        self.instances[number] = Instance()

    @invariant()
    def applies_the_newest_update_received(self) -> None:
        for instance in self.instances:
            expected = {
                domain
                for domain, version in instance.received.items()
                if domain in self.history[version]
            }
            assert instance.known.evacuated == expected


TestEvacuations = EvacuationMachine.TestCase


def test_a_repeated_update_is_not_new() -> None:
    known = Evacuations(lambda: 0.0)
    update = Evacuation("a", 3, evacuated=True)
    assert known.merge(update)
    assert not known.merge(update)
    assert known.replace({}, 2) == []
    assert known.replace({}, 4) == [Evacuation("a", 4, evacuated=False)]


def test_the_description_contains_version_and_age() -> None:
    now = [1.0]
    known = Evacuations(lambda: now[0])
    known.merge(Evacuation("a", 3, evacuated=True))
    now[0] = 2.5
    assert known.describe() == "a@3+1.5s"


def test_an_old_snapshot_does_not_evacuate_a_domain_restored_since() -> None:
    known = Evacuations(lambda: 0.0)
    known.replace({"a": 1}, 1)
    known.replace({}, 2)
    known.replace({}, 4)
    known.replace({"a": 3}, 3)
    assert known.evacuated == set()
