"""Admission control: bounded queues by priority in front of the upstreams."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

from pondquay.configuration.entities import Priority

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")
# Capacity of the queue of each priority.
MAX_QUEUED_PER_PRIORITY = 256
PRIORITY_ORDER = (Priority.HIGH, Priority.NORMAL, Priority.LOW)


@dataclass(frozen=True, slots=True)
class QueuedRequest(Generic[T]):
    """A request that waits for a free slot at an upstream.

    :param deadline: time at which it is refused if it has not started, in seconds
    """

    item: T
    priority: Priority
    deadline: float


class AdmissionQueue(Generic[T]):
    """Queues requests by priority, each until its deadline.

    :param max_queued: capacity of the queue of each priority
    """

    def __init__(self, max_queued: int = MAX_QUEUED_PER_PRIORITY) -> None:
        self._queues: dict[Priority, deque[QueuedRequest[T]]] = {
            priority: deque() for priority in PRIORITY_ORDER
        }
        self._max_queued = max_queued

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def push(self, request: QueuedRequest[T]) -> bool:
        """Add a request; return ``False`` if the queue of its priority is full."""
        queue = self._queues[request.priority]
        if len(queue) >= self._max_queued:
            return False
        queue.append(request)
        return True

    def drop_expired(self, now: float) -> list[T]:
        """Remove and return all requests whose deadline has passed."""
        expired: list[T] = []
        for priority, queue in self._queues.items():
            expired.extend(request.item for request in queue if request.deadline <= now)
            self._queues[priority] = deque(
                request for request in queue if request.deadline > now
            )
        return expired

    def pop_startable(self, start: Callable[[T], bool]) -> int:
        """Try to start the requests, by priority and then in order of arrival.

        A request that cannot start does not block those behind it.

        :param start: starts a request; returns whether it has started
        :returns: the number of requests started
        """
        started = 0
        for priority in PRIORITY_ORDER:
            remaining: deque[QueuedRequest[T]] = deque()
            for request in self._queues[priority]:
                if start(request.item):
                    started += 1
                else:
                    remaining.append(request)
            self._queues[priority] = remaining
        return started
