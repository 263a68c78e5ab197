"""A request that crashes replicas, before relays of two builds side by side.

``python -m pondquay_standins.soak.deadly --from COMMIT`` has its caller send it to all
relays again and again, while other callers ask as well. Whichever relays are of the
former build, few replicas end under it and the others are served.
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
from pondquay_standins.soak.builds import FormerBuild, UnknownCommitError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay_standins.routedfleet import Relay
    from pondquay_standins.soak.builds import Build

RELAYS = ("r1", "r2", "r3")
REPLICAS = tuple(f"p{number}" for number in range(1, 7))
PATH = "/fetch/crashing"
# In which the request comes, and between two tries, in seconds.
SECONDS = 10.0
RETRY_DELAY_SECONDS = 0.2
CALLERS = 2
# Three that must end until it is known, and one while instances tell each other.
MAX_CRASHED = 4
MIN_SERVED = 0.98
EXIT_BREACH = 1


@dataclass(frozen=True, slots=True)
class DeadlyResult:
    """What came of one run.

    :param former: the relays of the former build
    :param crashed: replicas that ended under the request
    :param served: the part of the other callers' requests that was served
    """

    former: tuple[str, ...]
    crashed: int
    served: float

    @property
    def is_kept(self) -> bool:
        """Whether what is promised was kept."""
        return self.crashed <= MAX_CRASHED and self.served >= MIN_SERVED

    def __str__(self) -> str:
        names = ",".join(self.former) or "none"
        verdict = "kept" if self.is_kept else "broken"
        return (
            f"former build: {names}; {self.crashed} ended, "
            f"{self.served:.3f} of the others served: {verdict}"
        )


def play(former: Sequence[str], build: Build) -> DeadlyResult:
    """Play one run.

    :param former: the relays that are of another build
    """
    with RoutedFleet() as fleet:
        fleet.start_replicas(PLAIN_SERVICE, *REPLICAS)
        fleet.configure(make_configuration(1))
        fleet.environments = dict.fromkeys(former, build.environment)
        for name in RELAYS:
            fleet.start_relay(name)
        for relay in fleet.relays.values():
            wait_until(partial(_is_linked, relay), "links")
        statuses: list[int] = []
        ended = Event()
        threads = [
            Thread(target=_ask_on, args=(fleet, statuses, ended))
            for _ in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        _send_again(fleet)
        ended.set()
        for thread in threads:
            thread.join()
        crashed = sum(
            one["target"] == PATH and one["ended"] == "crashed" for one in fleet.runs()
        )
    served = sum(status == 200 for status in statuses) / max(1, len(statuses))
    return DeadlyResult(tuple(former), crashed, served)


def _is_linked(relay: Relay) -> bool:
    return f"pondquay_peers {len(RELAYS) - 1}.0" in relay.fetch_report("/metrics")


def _send_again(fleet: RoutedFleet) -> None:
    until = time.monotonic() + SECONDS
    relays = cycle(RELAYS)
    while time.monotonic() < until:
        with suppress(OSError, HTTPException):
            fleet.send_request(fleet.relays[next(relays)], PATH)
        time.sleep(RETRY_DELAY_SECONDS)


def _ask_on(fleet: RoutedFleet, statuses: list[int], ended: Event) -> None:
    """Ask all relays in turn, and note the statuses; 0 where there was none."""
    relays = cycle(RELAYS)
    while not ended.is_set():
        status = 0
        with suppress(OSError, HTTPException):
            status = fleet.send_request(
                fleet.relays[next(relays)], "/fetch/sound"
            ).status
        statuses.append(status)


def main(arguments: Sequence[str] | None = None) -> int:
    """Play runs with none, one and two relays of the former build.

    :returns: 0 if all promises were kept, 1 if not
    """
    parser = ArgumentParser(
        prog="python -m pondquay_standins.soak.deadly",
        description="Send a request that crashes replicas to relays of two builds.",
    )
    parser.add_argument("--from", dest="former", metavar="COMMIT", required=True)
    options = parser.parse_args(arguments)
    plans = [(), *((name,) for name in RELAYS), RELAYS[:2], RELAYS[1:]]
    results = []
    try:
        with FormerBuild(options.former) as build:
            for former in plans:
                results.append(play(former, build))
                print(results[-1], flush=True)
    except UnknownCommitError as error:
        parser.error(f"--from {options.former}: {error}")
    return 0 if all(one.is_kept for one in results) else EXIT_BREACH


if __name__ == "__main__":
    sys.exit(main())
