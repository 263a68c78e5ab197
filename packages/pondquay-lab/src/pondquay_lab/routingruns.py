"""Discrete-event simulation of the routing policies over a workload.

Eight instances, each with its own delayed load reports, send requests to six upstreams
that serve several streams at a time in order of priority.
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
REPORT_INTERVAL_SECONDS = 0.5
REPORT_DELAY_SECONDS = 0.3
RUN_SECONDS = 300.0
WARMUP_SECONDS = 30.0
SLOW_FACTOR = 3.0
MAX_WAIT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    :param share: fraction of the requests
    :param tokens: mean length of the response
    :param rank: priority; 0 is the most urgent
    """

    name: str
    share: float
    tokens: int
    rank: int


KINDS = (
    RequestKind("caption", 0.6, 20, 0),
    RequestKind("review", 0.3, 120, 1),
    RequestKind("verification", 0.1, 500, 2),
)
MEAN_TOKENS = sum(kind.share * kind.tokens for kind in KINDS)


@dataclass(slots=True)
class Job:
    """One simulated request.

    :param arrived_at: arrival time in seconds
    :param instance: index of the instance that receives the request
    """

    kind: RequestKind
    tokens: int
    arrived_at: float
    instance: int


@dataclass(slots=True)
class Engine:
    """A simulated engine that runs up to ``SLOTS`` streams, the most urgent first.

    :param token_seconds: seconds per token
    :param running: number of running streams
    :param pending_tokens: tokens of running and queued streams
    :param queue: heap of rank, sequence number and job
    """

    token_seconds: float
    running: int = 0
    pending_tokens: int = 0
    queue: list[tuple[int, int, Job]] = field(default_factory=list)


@dataclass(slots=True)
class RoutingResults:
    """Measurements of one run, without the warm-up.

    :param waits: times to the first token in seconds, by kind
    :param refused: number of requests that no upstream had capacity for, by kind
    """

    waits: dict[str, list[float]] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)

    def percentile(self, kind: str, fraction: float) -> float:
        """Return a percentile of the time to the first token, in seconds."""
        ordered = sorted(self.waits.get(kind, [0.0]))
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    def refused_fraction(self, kind: str) -> float:
        """Return the fraction of a kind's requests that was refused."""
        refused = self.refused.get(kind, 0)
        return refused / max(1, refused + len(self.waits.get(kind, [])))


class RoutingRun:
    """One run of one policy.

    :param load: demand relative to the upstreams' capacity when none is slow
    :param slow: number of slow upstreams
    """

    def __init__(self, policy: str, load: float, slow: int = 1, seed: int = 1) -> None:
        self._random = Random(seed)
        self._load = load
        self._ignores_capacity = policy == "round-robin"
        factors = [SLOW_FACTOR if index < slow else 1.0 for index in range(UPSTREAMS)]
        self._engines = [Engine(TOKEN_SECONDS * factor) for factor in factors]
        self._policies: list[RoutingPolicy] = [
            ROUTING_POLICIES.create(policy) for _ in range(INSTANCES)
        ]
        self._views = [self._make_views() for _ in range(INSTANCES)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now = 0.0
        self.results = RoutingResults()

    def _make_views(self) -> list[Upstream]:
        views = [
            Upstream(f"engine-{index}", ENGINE, "", "", "")
            for index in range(UPSTREAMS)
        ]
        for view in views:
            view.apply_report(LoadReport(0, SLOTS, 0.0))
        return views

    def run(self) -> RoutingResults:
        """Run the workload and return the results."""
        rate = self._load * UPSTREAMS * SLOTS / (TOKEN_SECONDS * MEAN_TOKENS)
        at = 0.0
        while at < RUN_SECONDS:
            at += self._random.expovariate(rate)
            self._schedule(at, partial(self._arrive, self._make_job(at)))
        for instance in range(INSTANCES):
            self._schedule(instance / 16, partial(self._poll_loads, instance))
        while self._events:
            self._now, _, event = heappop(self._events)
            event()
        return self.results

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), event))

    def _make_job(self, at: float) -> Job:
        kind = self._random.choices(KINDS, [candidate.share for candidate in KINDS])[0]
        tokens = 1 + int(self._random.expovariate(1 / kind.tokens))
        return Job(kind, tokens, at, self._random.randrange(INSTANCES))

    def _poll_loads(self, instance: int) -> None:
        """Request load reports, which arrive after a delay."""
        if self._now > RUN_SECONDS:
            return
        for view, engine in zip(self._views[instance], self._engines, strict=True):
            streams = engine.running + len(engine.queue)
            report = LoadReport(engine.pending_tokens, SLOTS, self._now, streams)
            arrives_at = self._now + REPORT_DELAY_SECONDS
            self._schedule(arrives_at, partial(view.apply_report, report))
        next_poll = partial(self._poll_loads, instance)
        self._schedule(self._now + REPORT_INTERVAL_SECONDS, next_poll)

    def _arrive(self, job: Job) -> None:
        """Send a request to an upstream, or retry later if none has capacity."""
        views = self._views[job.instance]
        candidates = [
            candidate
            for candidate in views
            if self._is_usable(candidate, job.kind.rank)
        ]
        if not candidates:
            if self._now - job.arrived_at > MAX_WAIT_SECONDS:
                self._count_refusal(job)
                return
            self._schedule(self._now + 0.1, partial(self._arrive, job))
            return
        policy = self._policies[job.instance]
        profile = RequestProfile(job.tokens, rank=job.kind.rank)
        view = policy.choose(candidates, profile, self._random)
        view.begin(job.tokens)
        engine = self._engines[views.index(view)]
        engine.pending_tokens += job.tokens
        heappush(engine.queue, (job.kind.rank, next(self._order), job))
        self._start_queued(engine, views.index(view))

    def _is_usable(self, view: Upstream, rank: int) -> bool:
        """Return whether the policy may send a request of a rank to an upstream.

        The baseline, round-robin, ignores capacity.
        """
        return self._ignores_capacity or view.has_capacity(rank)

    def _count_refusal(self, job: Job) -> None:
        if job.arrived_at > WARMUP_SECONDS:
            refused = self.results.refused
            refused[job.kind.name] = refused.get(job.kind.name, 0) + 1

    def _start_queued(self, engine: Engine, index: int) -> None:
        while engine.queue and engine.running < SLOTS:
            _, _, job = heappop(engine.queue)
            engine.running += 1
            if job.arrived_at > WARMUP_SECONDS:
                wait = self._now + engine.token_seconds - job.arrived_at
                self.results.waits.setdefault(job.kind.name, []).append(wait)
            ends_at = self._now + engine.token_seconds * job.tokens
            self._schedule(ends_at, partial(self._end, engine, index, job))

    def _end(self, engine: Engine, index: int, job: Job) -> None:
        engine.running -= 1
        engine.pending_tokens -= job.tokens
        view = self._views[job.instance][index]
        view.end(job.tokens)
        view.observe_pace(engine.token_seconds)
        self._start_queued(engine, index)
