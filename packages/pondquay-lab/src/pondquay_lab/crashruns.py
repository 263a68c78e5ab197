"""Simulation of upstream crashes and the refusal of requests that cause them.

The runs differ in the load (a caller repeats a request that crashes every upstream that
runs it, or upstreams crash for an unrelated reason), in the number of crashes after
which a request is refused, and in how long after its start a stream is suspected of a
crash. The measurements are the numbers of crashes and of served, failed and refused
streams.

    python -m pondquay_lab.crashruns
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from pondquay.routing import crashes
from pondquay.routing.crashes import CrashHistory
from pondquay_daemon.relay.crashpermits import SUSPECT_STREAM_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

UPSTREAMS = 6
RUN_SECONDS = 20.0
STREAMS_PER_SECOND = 23.0
STREAM_SECONDS = 2.5
RESTART_SECONDS = 3.0
# Time from the start of a crashing request until its upstream crashes.
CRASH_DELAY_SECONDS = 0.08
# Time until instances detect a crash; also the delay before a caller's next try.
DETECTION_SECONDS = 0.05
# Interval between a caller's crashing requests.
CRASHING_INTERVAL_SECONDS = 0.5
UNRELATED_CRASH_INTERVAL_SECONDS = 0.7
ATTEMPTS_PER_TRY = 2
CALLER_TRIES = 2
SEEDS = 20
THRESHOLDS = (1, 2, 3, 4, 1000)
CRASHING_CONTENT = b"crashing"
# Longer than any stream runs, so every running stream is suspected.
UNLIMITED_SECONDS = RUN_SECONDS


@dataclass(slots=True)
class RunTotals:
    """Totals of one run or of several.

    The requests that crash upstreams are counted only under ``crashes``.

    :ivar crashes: crashes of upstreams
    :ivar served: completed streams
    :ivar failed: streams that used up their attempts and tries
    :ivar refused: streams that were refused because they were suspected of crashes
    """

    crashes: int = 0
    served: int = 0
    failed: int = 0
    refused: int = 0


@dataclass(slots=True)
class _Request:
    content: bytes
    started_at: float = 0.0
    attempts: int = 0
    tries: int = 1


@dataclass(slots=True)
class _Upstream:
    incarnation: str
    available_at: float = 0.0
    running: list[_Request] = field(default_factory=list)


class CrashRun:
    """One run, in which all instances share one crash history.

    :param unrelated_crashes: whether upstreams crash for a reason other than a request
    :param suspect_seconds: how long a stream is suspected of a crash after its start
    """

    def __init__(
        self, seed: int, *, unrelated_crashes: bool, suspect_seconds: float
    ) -> None:
        self._random = Random(seed)
        self._unrelated_crashes = unrelated_crashes
        self._suspect_seconds = suspect_seconds
        self._now = 0.0
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._upstreams = [
            _Upstream(f"u{next(self._numbers)}") for _ in range(UPSTREAMS)
        ]
        self._history = CrashHistory(lambda: self._now, lambda content: True)
        self.totals = RunTotals()

    def run(self) -> RunTotals:
        """Run the simulation and return its totals."""
        self._schedule(0.0, self._arrive)
        self._schedule(
            2.0,
            self._crash_random_upstream
            if self._unrelated_crashes
            else self._send_crashing,
        )
        while self._events:
            self._now, _, event = heappop(self._events)
            event()
        return self.totals

    def _schedule(self, seconds: float, event: Callable[[], None]) -> None:
        heappush(self._events, (self._now + seconds, next(self._numbers), event))

    def _arrive(self) -> None:
        if self._now < RUN_SECONDS:
            self._schedule(self._random.expovariate(STREAMS_PER_SECOND), self._arrive)
            self._send(_Request(b"%d" % next(self._numbers)))

    def _send_crashing(self) -> None:
        if self._now < RUN_SECONDS:
            self._schedule(CRASHING_INTERVAL_SECONDS, self._send_crashing)
            self._send(_Request(CRASHING_CONTENT, tries=CALLER_TRIES))

    def _crash_random_upstream(self) -> None:
        if self._now < RUN_SECONDS:
            self._schedule(
                UNRELATED_CRASH_INTERVAL_SECONDS, self._crash_random_upstream
            )
            self._crash(self._random.choice(self._upstreams))

    def _send(self, request: _Request) -> None:
        content = request.content
        refused = self._history.check(content) is not None
        if refused and self._history.start_trial(content) is None:
            self.totals.refused += content != CRASHING_CONTENT
            return
        available = [
            candidate
            for candidate in self._upstreams
            if candidate.available_at <= self._now
        ]
        if not available:
            self._give_up(request)
            return
        upstream = self._random.choice(available)
        request.attempts += 1
        upstream.running.append(request)
        request.started_at = self._now
        if request.content == CRASHING_CONTENT:
            incarnation = upstream.incarnation
            self._schedule(
                CRASH_DELAY_SECONDS, lambda: self._crash(upstream, incarnation)
            )
        else:
            self._schedule(STREAM_SECONDS, lambda: self._end(upstream, request))

    def _end(self, upstream: _Upstream, request: _Request) -> None:
        if any(running is request for running in upstream.running):
            upstream.running = [
                running for running in upstream.running if running is not request
            ]
            self._history.note_served(request.content)
            self.totals.served += 1

    def _crash(self, upstream: _Upstream, incarnation: str = "") -> None:
        if upstream.available_at > self._now or incarnation not in (
            "",
            upstream.incarnation,
        ):
            return
        self.totals.crashes += 1
        incarnation, interrupted = upstream.incarnation, upstream.running
        upstream.incarnation, upstream.running = f"u{next(self._numbers)}", []
        upstream.available_at = self._now + RESTART_SECONDS
        suspected = [
            running
            for running in interrupted
            if self._now - running.started_at < self._suspect_seconds
        ]
        self._schedule(
            DETECTION_SECONDS, lambda: self._note_crashes(incarnation, suspected)
        )
        for request in interrupted:
            self._retry(request)

    def _note_crashes(self, incarnation: str, suspected: list[_Request]) -> None:
        for request in suspected:
            self._history.note_crash(request.content, incarnation)

    def _retry(self, request: _Request) -> None:
        report = self._history.find(request.content)
        crashed = 0 if report is None else len(report.crashed - report.cleared)
        if request.attempts < ATTEMPTS_PER_TRY:
            # If the crash that just happened may block the request, the next attempt
            # waits until the crash is detected.
            must_wait = crashed + 1 >= crashes.CRASHES_TO_BLOCK
            seconds = DETECTION_SECONDS if must_wait else 0.0
            self._schedule(seconds, lambda: self._send(request))
        else:
            self._give_up(request)

    def _give_up(self, request: _Request) -> None:
        if request.tries < CALLER_TRIES:
            request.tries, request.attempts = request.tries + 1, 0
            self._schedule(DETECTION_SECONDS, lambda: self._send(request))
        else:
            self.totals.failed += request.content != CRASHING_CONTENT


def run_seeds(
    threshold: int,
    *,
    unrelated_crashes: bool,
    suspect_seconds: float = SUSPECT_STREAM_SECONDS,
) -> RunTotals:
    """Return the totals over all seeds.

    :param threshold: number of crashes after which a request is refused
    """
    default_threshold, crashes.CRASHES_TO_BLOCK = crashes.CRASHES_TO_BLOCK, threshold
    try:
        run_totals = [
            CrashRun(
                seed,
                unrelated_crashes=unrelated_crashes,
                suspect_seconds=suspect_seconds,
            ).run()
            for seed in range(SEEDS)
        ]
    finally:
        crashes.CRASHES_TO_BLOCK = default_threshold
    return RunTotals(
        sum(totals.crashes for totals in run_totals),
        sum(totals.served for totals in run_totals),
        sum(totals.failed for totals in run_totals),
        sum(totals.refused for totals in run_totals),
    )


def main() -> None:
    """Print a table with a row for each load, threshold and suspicion time."""
    print("threshold | suspected for | load | crashed | served | failed | refused")
    for unrelated_crashes in (False, True):
        load = "unrelated crashes" if unrelated_crashes else "one crashing request"
        for threshold in THRESHOLDS:
            for suspect_seconds in (SUSPECT_STREAM_SECONDS, UNLIMITED_SECONDS):
                totals = run_seeds(
                    threshold,
                    unrelated_crashes=unrelated_crashes,
                    suspect_seconds=suspect_seconds,
                )
                counts = (
                    f"{totals.crashes} | {totals.served} "
                    f"| {totals.failed} | {totals.refused}"
                )
                print(f"{threshold} | {suspect_seconds} s | {load} | {counts}")


if __name__ == "__main__":
    main()
