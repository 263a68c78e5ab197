"""Sends a request that crashes replicas to relays of two builds.

``python -m pondquay_standins.soak.deadly --from COMMIT`` sends the request to each
relay in turn, repeatedly, while other callers send harmless requests. It checks that
only a few replicas crash and that nearly all other requests are served. It runs once
for each of several sets of relays that run the old build.
"""

from __future__ import annotations

import sys
import time
from argparse import ArgumentParser
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from http.client import HTTPException
from itertools import cycle
from threading import Event, Thread
from typing import TYPE_CHECKING

from pondquay_standins.processes import wait_until
from pondquay_standins.routedfleet import (
    PLAIN_SERVICE,
    RoutedFleet,
    make_configuration,
)
from pondquay_standins.soak.builds import CommitBuild, UnknownCommitError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay_standins.routedfleet import Relay
    from pondquay_standins.soak.builds import Build

RELAYS = ("r1", "r2", "r3")
REPLICAS = tuple(f"p{number}" for number in range(1, 7))
CRASHING_PATH = "/fetch/crashing"
CRASHING_SECONDS = 10.0
RETRY_DELAY_SECONDS = 0.2
CALLER_COUNT = 2
# Relays identify the request by three crashes; one more may occur before all refuse it.
MAX_CRASHED = 4
MIN_SERVED_FRACTION = 0.98
EXIT_VIOLATION = 1


@dataclass(frozen=True, slots=True)
class CrashingRequestResult:
    """The result of one run.

    :param old_relays: the relays that ran the old build
    :param crashed: number of replicas that the request crashed
    :param served: fraction of the other callers' requests that were served
    """

    old_relays: tuple[str, ...]
    crashed: int
    served: float

    @property
    def passed(self) -> bool:
        """Whether crashes and served requests are within their bounds."""
        return self.crashed <= MAX_CRASHED and self.served >= MIN_SERVED_FRACTION

    def __str__(self) -> str:
        names = ",".join(self.old_relays) or "none"
        verdict = "passed" if self.passed else "failed"
        return (
            f"old build: {names}; {self.crashed} replicas crashed, "
            f"{self.served:.3f} of other requests served: {verdict}"
        )


def run_once(old_relays: Sequence[str], old_build: Build) -> CrashingRequestResult:
    """Run the check once and return its result.

    :param old_relays: the relays that run the old build; the others run the current one
    """
    with RoutedFleet() as fleet:
        fleet.start_replicas(PLAIN_SERVICE, *REPLICAS)
        fleet.configure(make_configuration(1))
        fleet.environments = dict.fromkeys(old_relays, old_build.environment)
        for name in RELAYS:
            fleet.start_relay(name)
        for relay in fleet.relays.values():
            wait_until(partial(_is_linked, relay), "links")
        statuses: list[int] = []
        stopping = Event()
        threads = [
            Thread(target=_send_harmless, args=(fleet, statuses, stopping))
            for _ in range(CALLER_COUNT)
        ]
        for thread in threads:
            thread.start()
        _send_crashing(fleet)
        stopping.set()
        for thread in threads:
            thread.join()
        crashed = sum(
            run["target"] == CRASHING_PATH and run["ended"] == "crashed"
            for run in fleet.runs()
        )
    served = sum(status == 200 for status in statuses) / max(1, len(statuses))
    return CrashingRequestResult(tuple(old_relays), crashed, served)


def _is_linked(relay: Relay) -> bool:
    """Return whether a relay is linked to all other relays."""
    return f"pondquay_peers {len(RELAYS) - 1}.0" in relay.fetch_report("/metrics")


def _send_crashing(fleet: RoutedFleet) -> None:
    """Send the crashing request to each relay in turn for ``CRASHING_SECONDS``."""
    until = time.monotonic() + CRASHING_SECONDS
    relays = cycle(RELAYS)
    while time.monotonic() < until:
        with suppress(OSError, HTTPException):
            fleet.send_request(fleet.relays[next(relays)], CRASHING_PATH)
        time.sleep(RETRY_DELAY_SECONDS)


def _send_harmless(fleet: RoutedFleet, statuses: list[int], stopping: Event) -> None:
    """Send requests to each relay in turn and append their statuses, 0 for failures."""
    relays = cycle(RELAYS)
    while not stopping.is_set():
        status = 0
        with suppress(OSError, HTTPException):
            status = fleet.send_request(
                fleet.relays[next(relays)], "/fetch/sound"
            ).status
        statuses.append(status)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the check with none, one and two relays of the old build.

    :returns: exit status, 0 if all runs passed, 1 if not
    """
    parser = ArgumentParser(
        prog="python -m pondquay_standins.soak.deadly",
        description="Send a request that crashes replicas to relays of two builds.",
    )
    parser.add_argument("--from", dest="old_commit", metavar="COMMIT", required=True)
    options = parser.parse_args(arguments)
    old_relay_sets = [(), *((name,) for name in RELAYS), RELAYS[:2], RELAYS[1:]]
    results = []
    try:
        with CommitBuild(options.old_commit) as old_build:
            for old_relays in old_relay_sets:
                results.append(run_once(old_relays, old_build))
                print(results[-1], flush=True)
    except UnknownCommitError as error:
        parser.error(f"--from {options.old_commit}: {error}")
    return 0 if all(result.passed for result in results) else EXIT_VIOLATION


if __name__ == "__main__":
    sys.exit(main())
