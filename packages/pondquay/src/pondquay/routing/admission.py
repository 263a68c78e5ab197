"""Admission: bounded queues by priority in front of the upstreams."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

from pondquay.configuration.entities import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")
MAX_WAITING = 256
PRIORITY_ORDER = (Priority.HIGH, Priority.NORMAL, Priority.LOW)


@dataclass(frozen=True, slots=True)
class QueuedRequest(Generic[T]):
    """A request that waits for a place.

    :param deadline: when it has to be refused, in seconds
    """

    item: T
    priority: Priority
    deadline: float


class AdmissionQueue(Generic[T]):
    """Requests that wait, the most urgent first, each until its deadline.

    :param most_waiting: places for each priority
    """

    def __init__(self, most_waiting: int = MAX_WAITING) -> None:
        self._queues: dict[Priority, deque[QueuedRequest[T]]] = {
            priority: deque() for priority in PRIORITY_ORDER
        }
        self._most_waiting = most_waiting

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def push(self, waiting: QueuedRequest[T]) -> bool:
        """Add a request; ``False`` if the queue of its priority is full."""
        queue = self._queues[waiting.priority]
        if len(queue) >= self._most_waiting:
            return False
        queue.append(waiting)
        return True

    def drop_expired(self, now: float) -> list[T]:
        """Take out all whose deadline has come, to be refused at once."""
        late: list[T] = []
        for priority, queue in self._queues.items():
            late.extend(one.item for one in queue if one.deadline <= now)
            self._queues[priority] = deque(one for one in queue if one.deadline > now)
        return late

    def pop_startable(self, start: Callable[[T], bool]) -> int:
        """Offer the requests in order; those that ``start`` accepts leave the queue.

        One that cannot start does not hold up others that can.
        """
        started = 0
        for priority in PRIORITY_ORDER:
            kept: deque[QueuedRequest[T]] = deque()
            for waiting in self._queues[priority]:
                if start(waiting.item):
                    started += 1
                else:
                    kept.append(waiting)
            self._queues[priority] = kept
        return started
