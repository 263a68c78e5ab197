"""Peers know the load of an instance, by messages that an idle fleet does not send."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from twisted.internet.task import Clock

from pondquay.routing.overload import MAX_ROOM, LoadLevel, OverloadDetector
from pondquay_daemon.relay.loadlinks import REPEAT_SECONDS, LoadLinks
from pondquay_daemon.relay.peermessages import InstanceLoad

LINK: Any = object()


@dataclass
class FakeMonitor:
    detector: OverloadDetector = field(default_factory=OverloadDetector)
    on_change: Any = None

    def change(self, level: LoadLevel) -> None:
        self.detector.level = level
        self.on_change()


@dataclass
class FakeMesh:
    sent: list[Any] = field(default_factory=list)

    def add_topic(self, topic: Any) -> None:
        pass

    def broadcast(self, message: Any) -> None:
        self.sent.append(message)


@dataclass
class LoadSide:
    clock: Clock = field(default_factory=Clock)
    mesh: Any = field(default_factory=FakeMesh)
    monitor: Any = field(default_factory=FakeMonitor)

    def __post_init__(self) -> None:
        self.links = LoadLinks(self.clock, self.mesh, self.monitor, "hall")
        self.links.start()


@pytest.fixture
def side() -> LoadSide:
    return LoadSide()


def test_an_idle_instance_sends_nothing(side: LoadSide) -> None:
    side.clock.pump([REPEAT_SECONDS] * 5)
    assert side.links.make_greeting() is None
    assert side.mesh.sent == []


def test_a_change_is_sent_at_once_and_repeated_until_the_instance_is_idle(
    side: LoadSide,
) -> None:
    side.monitor.change(LoadLevel.OVERLOADED)
    overloaded = InstanceLoad(LoadLevel.OVERLOADED, 0)
    assert side.mesh.sent == [overloaded]
    assert side.links.make_greeting() == overloaded
    side.clock.pump([REPEAT_SECONDS] * 3)
    assert side.mesh.sent == [overloaded] * 4
    side.monitor.change(LoadLevel.IDLE)
    side.clock.pump([REPEAT_SECONDS] * 3)
    assert side.mesh.sent[4:] == [InstanceLoad(LoadLevel.IDLE, MAX_ROOM)]


def test_a_stopping_instance_offers_no_room(side: LoadSide) -> None:
    side.links.stopping = True
    side.links.announce()
    assert [load.room for load in side.mesh.sent] == [0]


def test_the_load_of_a_peer_is_dropped_with_its_link(side: LoadSide) -> None:
    assert side.links.find_room(LINK) == MAX_ROOM
    side.links.receive(LINK, InstanceLoad(LoadLevel.BUSY, 0))
    assert side.links.find_room(LINK) == 0
    side.links.note_disconnected(LINK)
    assert side.links.find_room(LINK) == MAX_ROOM
