"""Requests that wait at this instance, while a service has no room for them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay.routing.fairness import Claim, FairQueue, Rank
from pondquay.routing.serviceroom import ServiceRoom
from pondquay.routing.tokenrates import TokenRates
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.admission import RETRY_SOON_SECONDS, UNAVAILABLE, Refusal

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.interfaces import IDelayedCall, IReactorTime

    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.metrics import RelayMetrics

# Interval of checks while requests wait, for room that no event announces.
CHECK_SECONDS = 0.02
MAX_RETRY_SECONDS = 5.0


class Room(ABC):
    """A further condition for requests to run, besides rejections by upstreams."""

    @abstractmethod
    def has_room(self, service: str) -> bool:
        """Return whether a further request of a service may run."""


class ServiceQueue:
    """The requests of one service that run or wait at this instance."""

    def __init__(
        self,
        clock: IReactorTime,
        service: str,
        usual: TokenRates,
        rooms: Sequence[Room],
    ) -> None:
        self._clock = clock
        self._service = service
        self._usual = usual
        self._rooms = rooms
        self._queue = FairQueue(usual)
        self._waiting: dict[Claim, Deferred[bool]] = {}
        self._timer: IDelayedCall | None = None
        self.room = ServiceRoom()

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    async def enter(self, claim: Claim) -> bool:
        """Wait until there is room for a request.

        :returns: whether it has room; if so, ``leave`` must be called
        """
        now = self._clock.seconds()
        self.room.note_time(now)
        if not self._queue and self._has_room(now):
            self._start(claim, now)
            return True
        refused = self._queue.add(claim, now)
        if refused is claim:
            return False
        waiting: Deferred[bool] = Deferred()
        self._waiting[claim] = waiting
        if refused is not None:
            self._finish(refused, has_room=False)
        self._check_later()
        return await waiting

    def leave(self) -> None:
        """Note that a request has ended."""
        self.room.end()
        self._fill()

    def cancel(self, claim: Claim) -> None:
        """End the wait of a request."""
        if claim in self._waiting:
            self._queue.remove(claim)
            self._finish(claim, has_room=False)

    def note_rejected(self) -> None:
        """Record that an upstream rejected a request, since it is full."""
        before = self.room.limit
        self.room.note_rejected(self._clock.seconds())
        if before is None and self.room.limit is not None:
            self._log("room-short", Level.WARNING)

    def plan_retry(self) -> float:
        """Return the seconds after which a refused caller should retry."""
        drain = self._queue.estimate_drain()
        return min(MAX_RETRY_SECONDS, max(RETRY_SOON_SECONDS, drain))

    def _has_room(self, now: float) -> bool:
        if not self.room.has_room(now):
            return False
        return all(room.has_room(self._service) for room in self._rooms)

    def _start(self, claim: Claim, now: float) -> None:
        self.room.start(now)
        self._usual.note(claim.workspace, claim.tokens, now)

    def _fill(self) -> None:
        """Let requests run while there is room, and end the wait of hopeless ones."""
        now = self._clock.seconds()
        was_short = self.room.limit is not None
        self.room.note_time(now)
        if was_short and self.room.limit is None:
            self._log("room-sufficient")
        hopeless = self._queue.drop_hopeless(now)
        started = []
        while self._queue and self._has_room(now):
            claim = self._queue.take(now)
            if claim is None:
                break
            self._start(claim, now)
            started.append(claim)
        for claim in hopeless:
            self._finish(claim, has_room=False)
        for claim in started:
            self._finish(claim, has_room=True)
        self._check_later()

    def _finish(self, claim: Claim, *, has_room: bool) -> None:
        waiting = self._waiting.pop(claim, None)
        if waiting is not None:
            waiting.callback(has_room)

    def _check_later(self) -> None:
        is_pending = self._timer is not None and self._timer.active()
        if self._queue and not is_pending:
            self._timer = self._clock.callLater(CHECK_SECONDS, self._fill)

    def _log(self, event: str, level: Level = Level.INFO) -> None:
        limit = self.room.limit
        log_event(
            event,
            level,
            service=self._service,
            limit=-1 if limit is None else round(limit, 2),
            running=self.room.running,
            waiting=self.waiting,
        )


class FairQueues:
    """The queues of all services at this instance.

    :param rooms: further conditions for requests to run
    """

    def __init__(
        self, clock: IReactorTime, metrics: RelayMetrics, rooms: Sequence[Room] = ()
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._rooms = rooms
        self._queues: dict[str, ServiceQueue] = {}

    def find(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(self._clock, service, TokenRates(), self._rooms)
            self._queues[service] = queue
        return queue

    def count_waiting(self) -> int:
        """Return the number of requests that wait for room."""
        return sum(queue.waiting for queue in self._queues.values())

    def count_short(self) -> int:
        """Return the number of services whose room is short."""
        queues = self._queues.values()
        return sum(queue.room.limit is not None for queue in queues)

    def make_place(self, admission: Admission, deadline: float) -> Place:
        """Return the place of a request, which has not entered its queue.

        :param deadline: time by which the caller needs the response, in seconds
        """
        queue = self.find(admission.service)
        workspace = admission.workspace
        priority = 0 if workspace is None else workspace.priority or 0
        claim = Claim(
            Rank(priority, admission.route.priority),
            "" if workspace is None else workspace.name,
            admission.metadata.max_tokens,
            deadline - queue.room.seconds,
        )
        return Place(self._clock, queue, claim, self._metrics)


class Place:
    """One request's place in the queue of its service."""

    def __init__(
        self,
        clock: IReactorTime,
        queue: ServiceQueue,
        claim: Claim,
        metrics: RelayMetrics,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._claim = claim
        self._metrics = metrics
        self._started_at: float | None = None

    async def enter(self) -> Refusal | None:
        """Wait for room; return a refusal if there is none in time."""
        asked_at = self._clock.seconds()
        has_room = await self._queue.enter(self._claim)
        now = self._clock.seconds()
        if has_room:
            self._started_at = now
            self._metrics.room_waits.inc(now - asked_at)
            return None
        self._metrics.room_refused.inc()
        return Refusal(UNAVAILABLE, "no room in time", self._queue.plan_retry())

    def cancel(self) -> None:
        """End the wait, as the caller has left or its time is over."""
        self._queue.cancel(self._claim)

    def note_served(self) -> None:
        """Record that an upstream has served the request."""
        if self._started_at is not None:
            now = self._clock.seconds()
            self._queue.room.note_served(now - self._started_at, now)

    def note_rejected(self) -> None:
        """Record that an upstream rejected the request, since it is full."""
        self._queue.note_rejected()

    def leave(self) -> None:
        """Make room for the next request."""
        if self._started_at is not None:
            self._started_at = None
            self._queue.leave()
