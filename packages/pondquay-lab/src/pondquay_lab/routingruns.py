"""Runs of the routing policies over a workload, in virtual time.

Eight instances, each with its own lagging view, send to six upstreams that batch and
honour priorities. The policies and views are the kernel's own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from pondquay.routing.policies import ROUTING_POLICIES, RequestProfile
from pondquay.routing.upstreams import ENGINE, LoadReport, Upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.policies import RoutingPolicy

INSTANCES = 8
UPSTREAMS = 6
SLOTS = 16
TOKEN_SECONDS = 0.02
REPORT_SECONDS = 0.5
LAG_SECONDS = 0.3
RUN_SECONDS = 300.0
WARM_SECONDS = 30.0
SLOW_FACTOR = 3.0
MAX_WAIT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    :param share: part of the requests
    :param tokens: mean length of the answer
    :param rank: priority, 0 is the most urgent
    """

    name: str
    share: float
    tokens: int
    rank: int


KINDS = (
    Kind("caption", 0.6, 20, 0),
    Kind("review", 0.3, 120, 1),
    Kind("verification", 0.1, 500, 2),
)
MEAN_TOKENS = sum(one.share * one.tokens for one in KINDS)


@dataclass(slots=True)
class Job:
    """One request on its way."""

    kind: Kind
    tokens: int
    arrived: float
    instance: int


@dataclass(slots=True)
class Engine:
    """A model engine: so many streams at a time, the most urgent first."""

    speed: float
    running: int = 0
    ahead: int = 0
    queue: list[tuple[int, int, Job]] = field(default_factory=list)


@dataclass(slots=True)
class RoutingFigures:
    """What came of a run.

    :param waits: seconds to the first token, by kind
    :param refused: requests that found no place in time, by kind
    """

    waits: dict[str, list[float]] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)

    def percentile(self, kind: str, part: float) -> float:
        """Return a percentile of the seconds to the first token."""
        ordered = sorted(self.waits.get(kind, [0.0]))
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))]

    def refused_share(self, kind: str) -> float:
        """Return the part of a kind that was refused."""
        refused = self.refused.get(kind, 0)
        return refused / max(1, refused + len(self.waits.get(kind, [])))


class RoutingRun:
    """One run of one policy.

    :param load: demand over what the upstreams can do when none is slow
    :param slow: how many of them are slow
    """

    def __init__(self, policy: str, load: float, slow: int = 1, seed: int = 1) -> None:
        self._random = Random(seed)
        self._load = load
        self._naive = policy == "round-robin"
        speeds = [SLOW_FACTOR if one < slow else 1.0 for one in range(UPSTREAMS)]
        self._engines = [Engine(TOKEN_SECONDS * speed) for speed in speeds]
        self._policies: list[RoutingPolicy] = [
            ROUTING_POLICIES.create(policy) for _ in range(INSTANCES)
        ]
        self._views = [self._make_views() for _ in range(INSTANCES)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now = 0.0
        self.figures = RoutingFigures()

    def _make_views(self) -> list[Upstream]:
        views = [
            Upstream(f"engine-{one}", ENGINE, "", "", "") for one in range(UPSTREAMS)
        ]
        for view in views:
            view.apply_report(LoadReport(0, SLOTS, 0.0))
        return views

    def run(self) -> RoutingFigures:
        """Play the workload."""
        rate = self._load * UPSTREAMS * SLOTS / (TOKEN_SECONDS * MEAN_TOKENS)
        at = 0.0
        while at < RUN_SECONDS:
            at += self._random.expovariate(rate)
            self._schedule(at, partial(self._arrive, self._make_job(at)))
        for instance in range(INSTANCES):
            self._schedule(instance / 16, partial(self._ask_loads, instance))
        while self._events:
            self._now, _, event = heappop(self._events)
            event()
        return self.figures

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), event))

    def _make_job(self, at: float) -> Job:
        kind = self._random.choices(KINDS, [one.share for one in KINDS])[0]
        tokens = 1 + int(self._random.expovariate(1 / kind.tokens))
        return Job(kind, tokens, at, self._random.randrange(INSTANCES))

    def _ask_loads(self, instance: int) -> None:
        """Take the engines' reports, which tell what was a while ago."""
        if self._now > RUN_SECONDS:
            return
        for view, engine in zip(self._views[instance], self._engines, strict=True):
            streams = engine.running + len(engine.queue)
            report = LoadReport(engine.ahead, SLOTS, self._now, streams)
            arrives = self._now + LAG_SECONDS
            self._schedule(arrives, partial(view.apply_report, report))
        again = partial(self._ask_loads, instance)
        self._schedule(self._now + REPORT_SECONDS, again)

    def _arrive(self, job: Job) -> None:
        """Place a request, or let it wait a little for a place."""
        views = self._views[job.instance]
        free = [one for one in views if self._has_room(one, job.kind.rank)]
        if not free:
            if self._now - job.arrived > MAX_WAIT_SECONDS:
                self._refuse(job)
                return
            self._schedule(self._now + 0.1, partial(self._arrive, job))
            return
        policy = self._policies[job.instance]
        work = RequestProfile(job.tokens, rank=job.kind.rank)
        view = policy.choose(free, work, self._random)
        view.begin(job.tokens)
        engine = self._engines[views.index(view)]
        engine.ahead += job.tokens
        heappush(engine.queue, (job.kind.rank, next(self._order), job))
        self._start(engine, views.index(view))

    def _has_room(self, view: Upstream, rank: int) -> bool:
        """Tell whether a place is free; the naive policy knows none kept for others."""
        return self._naive or view.has_capacity(rank)

    def _refuse(self, job: Job) -> None:
        if job.arrived > WARM_SECONDS:
            refused = self.figures.refused
            refused[job.kind.name] = refused.get(job.kind.name, 0) + 1

    def _start(self, engine: Engine, index: int) -> None:
        while engine.queue and engine.running < SLOTS:
            _, _, job = heappop(engine.queue)
            engine.running += 1
            if job.arrived > WARM_SECONDS:
                wait = self._now + engine.speed - job.arrived
                self.figures.waits.setdefault(job.kind.name, []).append(wait)
            ends = self._now + engine.speed * job.tokens
            self._schedule(ends, partial(self._end, engine, index, job))

    def _end(self, engine: Engine, index: int, job: Job) -> None:
        engine.running -= 1
        engine.ahead -= job.tokens
        view = self._views[job.instance][index]
        view.end(job.tokens)
        view.observe_pace(engine.speed)
        self._start(engine, index)
