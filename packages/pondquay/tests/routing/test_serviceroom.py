from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from pondquay.routing.serviceroom import ServiceRoom

STEP_SECONDS = 0.005


def test_room_is_not_short_without_rejections() -> None:
    room = ServiceRoom()
    for number in range(1000):
        assert room.has_room(number * 0.01)
        room.start(number * 0.01)
        room.note_served(0.1, number * 0.01)
    assert room.limit is None


def test_a_few_rejections_do_not_limit_a_service() -> None:
    """Load: an upstream that stops rejects some requests among many."""
    room = ServiceRoom()
    for number in range(100):
        now = number * 0.01
        room.start(now)
        if number % 10:
            room.note_served(0.1, now)
        else:
            room.note_rejected(now)
        room.end()
    assert room.limit is None


def test_room_is_short_once_upstreams_are_full_and_ends_when_they_are_not() -> None:
    room = ServiceRoom()
    for _ in range(10):
        room.start(0.0)
    for _ in range(3):
        room.note_rejected(0.0)
    assert room.limit == 7.0
    assert not room.has_room(0.0)
    for _ in range(4):
        room.end()
    assert room.has_room(0.0)
    for step in range(30):
        room.note_time(step * 0.1)
    assert room.limit is not None
    assert room.limit > 7.0
    room.note_time(3.0)
    assert room.limit is None


def test_a_share_below_one_request_pauses_between_requests() -> None:
    room = ServiceRoom()
    room.start(0.0)
    for step in range(10):
        room.note_rejected(step * 0.2)
    assert room.limit is not None
    assert room.limit < 1
    room.end()
    assert not room.has_room(0.01)
    assert room.has_room(room.next_at)


@dataclass
class SmallService:
    """A service of few places, at which the instances of a fleet run requests."""

    places: int
    seconds: float
    rooms: list[ServiceRoom]
    running: list[tuple[float, ServiceRoom]] = field(default_factory=list)
    served: int = 0
    rejected: int = 0

    def step(self, now: float, asking: list[ServiceRoom]) -> None:
        for ends_at, room in [entry for entry in self.running if entry[0] <= now]:
            self.running.remove((ends_at, room))
            room.note_served(self.seconds, now)
            room.end()
            self.served += 1
        for room in asking:
            room.note_time(now)
            if not room.has_room(now):
                continue
            room.start(now)
            if len(self.running) < self.places:
                self.running.append((now + self.seconds, room))
            else:
                self.rejected += 1
                room.note_rejected(now)
                room.end()


def test_a_fleet_shares_the_places_of_a_small_service() -> None:
    """Load: 40 instances have requests waiting for a service of 18 places."""
    random = Random(1)
    rooms = [ServiceRoom() for _ in range(40)]
    service = SmallService(18, 0.045, rooms)
    seconds = 20.0
    for step in range(int(seconds / STEP_SECONDS)):
        asking = rooms[:]
        random.shuffle(asking)
        service.step(step * STEP_SECONDS, asking)
    possible = seconds * service.places / service.seconds
    assert service.served >= 0.8 * possible
    assert service.rejected <= 0.5 * service.served
