"""Runs in which a request, or a part of prompts, crashes replicas beside killed relays.

Relays that start again must know what has crashed replicas before. Requests count that
reach replicas once all relays can know of the crashes, sent by relays that were not
killed shortly before.
"""

from __future__ import annotations

import time
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPException
from itertools import count
from threading import Thread
from typing import TYPE_CHECKING

from pondquay_standins.hostile.callers import ROUTES, HostileCaller
from pondquay_standins.replicarecords import CRASHING_PART_PREFIX
from pondquay_standins.routedfleet import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    RoutedFleet,
    make_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

RELAYS = ("r1", "r2", "r3", "r4")
REPLICAS = 6
SECONDS = 16.0
SEND_PAUSE_SECONDS = 0.1
KILL_PAUSE_SECONDS = 2.0
# Time in which all relays learn of a crash, and after which one that started knows.
CONTACT_SECONDS = 3.0
# Crashes after which a request, and a part of prompts, must be known.
BORNE_CRASHES = {False: 3, True: 5}
MAX_LATE_REQUESTS = 3
SOUND_ROUTES = tuple(route for route in ROUTES if route.name in ("fetch", "audit"))
PROMPT_TOKENS = 10


@dataclass(frozen=True, slots=True)
class CrashCountResult:
    """What a run found.

    :ivar by_part: whether a part of prompts crashes replicas, and not one request
    :ivar crashes: number of crashes
    :ivar late: requests that reached replicas too late
    :ivar served: fraction of the sound requests that were served
    """

    by_part: bool
    seed: int
    crashes: int
    late: int
    served: float

    @property
    def passed(self) -> bool:
        """Whether the rule was kept."""
        return self.late <= MAX_LATE_REQUESTS

    def __str__(self) -> str:
        kind = "part" if self.by_part else "request"
        verdict = "passed" if self.passed else "failed"
        return (
            f"crashing {kind} seed {self.seed}: {self.crashes} crashes, {self.late} "
            f"late requests, {self.served:.3f} of sound ones served: {verdict}"
        )


class CrashCountRun:
    """Sends what crashes replicas to relays that are killed one after another."""

    def __init__(self, *, by_part: bool, seed: int) -> None:
        self._by_part = by_part
        self._seed = seed
        self._numbers = count()
        # When each relay was killed, in seconds of the monotonic clock.
        self._kills: list[tuple[str, float]] = []

    def run(self) -> CrashCountResult:
        """Run it and return what was found."""
        with RoutedFleet() as fleet:
            for service in (ENGINE_SERVICE, PLAIN_SERVICE):
                names = [f"{service}-{index}" for index in range(REPLICAS)]
                fleet.start_replicas(service, *names)
            fleet.configure(make_configuration(1))
            fleet.start_relays(*RELAYS)
            caller = HostileCaller(
                "sound",
                self._seed,
                10**6,
                lambda: [(relay.name, relay.port) for relay in fleet.relays.values()],
                SOUND_ROUTES,
                is_mobile=True,
            )
            caller.start()
            self._send(fleet)
            caller.stop()
            crashed_at = [at for _, at in fleet.crashes()]
            late = self._count_late(fleet, crashed_at)
        served = sum(call.status == 200 for call in caller.calls)
        return CrashCountResult(
            self._by_part,
            self._seed,
            len(crashed_at),
            late,
            served / max(1, len(caller.calls)),
        )

    def _send(self, fleet: RoutedFleet) -> None:
        """Send from one thread a relay, and kill the relays in series."""
        until = time.monotonic() + SECONDS
        threads = [
            Thread(target=self._send_to, args=(fleet, name, until)) for name in RELAYS
        ]
        for thread in threads:
            thread.start()
        number = self._seed
        while time.monotonic() + KILL_PAUSE_SECONDS < until:
            time.sleep(KILL_PAUSE_SECONDS)
            name = RELAYS[number % len(RELAYS)]
            self._kills.append((name, time.monotonic()))
            fleet.relays[name].process.kill()
            fleet.start_relay(name, wait=False)
            number += 1
        for thread in threads:
            thread.join()

    def _send_to(self, fleet: RoutedFleet, name: str, until: float) -> None:
        while time.monotonic() < until:
            number = next(self._numbers)
            attempt = f"{name}.{number}"
            with suppress(OSError, HTTPException):
                if self._by_part:
                    fleet.send_request(
                        fleet.relays[name],
                        f"/audit/{number}",
                        attempt=attempt,
                        tokens=(PROMPT_TOKENS, 3),
                        parts=(f"a{number % 3}", CRASHING_PART_PREFIX, f"c{number:x}"),
                        events=1,
                    )
                else:
                    path = "/fetch/crashing"
                    fleet.send_request(fleet.relays[name], path, attempt=attempt)
            time.sleep(SEND_PAUSE_SECONDS)

    def _count_late(self, fleet: RoutedFleet, crashed_at: Sequence[float]) -> int:
        borne = BORNE_CRASHES[self._by_part]
        if len(crashed_at) < borne:
            return 0
        known_from = sorted(crashed_at)[borne - 1] + CONTACT_SECONDS
        arrivals = [
            (arrival.attempt.partition(".")[0], arrival.at)
            for arrival in fleet.arrivals()
            if arrival.attempt.partition(".")[0] in RELAYS
        ]
        return sum(
            at > known_from and not self._was_killed(name, at) for name, at in arrivals
        )

    def _was_killed(self, name: str, at: float) -> bool:
        """Return whether a relay was killed shortly before a time."""
        return any(
            killed == name and killed_at <= at <= killed_at + CONTACT_SECONDS
            for killed, killed_at in self._kills
        )


def run_crash_counts(*, by_part: bool, seed: int) -> CrashCountResult:
    """Run it once."""
    return CrashCountRun(by_part=by_part, seed=seed).run()
