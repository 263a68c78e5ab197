"""Whether relays heed what replicas say of themselves in answers.

A replica that leaves gets no request that a caller sent to an instance a while after
that instance had passed on an answer which says so. One that asks to back off as it
turns a request away gets two more at most of that instance in the time, once half a
second is over. What was done to the instance or on the replica's line meanwhile excuses
either. What one life of a replica said is not another's.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_standins.soak.invariants import Breach

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pondquay_standins.replicas import Arrival
    from pondquay_standins.soak.callers import Call

LEAVING_PROMISE = "an instance heeds an answer that says that its upstream leaves"
BACKOFF_PROMISE = "an instance backs off from an upstream that asks for it"
# Seconds in which an instance that has passed such an answer on stops to send.
LEAVING_SECONDS = 2.0
# Seconds for what was under way as a replica asked to back off, and how many requests
# may come after.
UNDER_WAY_SECONDS = 0.5
MAX_IN_BACKOFF = 2


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Something that was done to a relay, or on the line of a replica.

    :param target: name of the relay or the replica
    :param began: when, in seconds
    """

    target: str
    began: float
    ended: float


class Disturbances:
    """All that was done in one run."""

    def __init__(self, of_run: Iterable[Disturbance]) -> None:
        self._by_target: Mapping[str, list[Disturbance]] = defaultdict(list)
        for one in of_run:
            self._by_target[one.target].append(one)

    def any_within(self, targets: Iterable[str], since: float, until: float) -> bool:
        """Tell whether something was done to any of some targets in a span."""
        return any(
            one.began <= until and one.ended >= since
            for target in targets
            for one in self._by_target.get(target, ())
        )


def check_signs(
    calls: Sequence[Call],
    arrivals: Sequence[Arrival],
    disturbances: Disturbances,
) -> list[Breach]:
    """Return the first breach of each instance with each replica."""
    asked = {call.attempt: call for call in calls}
    by_pair: dict[tuple[str, str, int], list[Arrival]] = defaultdict(list)
    for one in sorted(arrivals, key=lambda arrival: arrival.at):
        if one.attempt in asked:
            by_pair[asked[one.attempt].relay, one.replica, one.born].append(one)
    found = []
    for (relay, replica, _), of_pair in by_pair.items():
        targets = (relay, replica)
        found += _check_leaving(targets, of_pair, asked, disturbances)
        found += _check_backoff(targets, of_pair, disturbances)
    return found


def _check_leaving(
    targets: tuple[str, str],
    arrivals: Sequence[Arrival],
    asked: Mapping[str, Call],
    disturbances: Disturbances,
) -> list[Breach]:
    _, replica = targets
    passed_on = [
        asked[one.attempt].ended
        for one in arrivals
        if one.leaving and _passed_on(asked[one.attempt], replica)
    ]
    if not passed_on:
        return []
    since = min(passed_on)
    for one in arrivals:
        if asked[one.attempt].began <= since + LEAVING_SECONDS:
            continue
        if not disturbances.any_within(targets, since, one.at):
            text = f"{targets}, {one.at - since:.1f} s after"
            return [Breach(LEAVING_PROMISE, one.attempt, text)]
    return []


def _passed_on(call: Call, replica: str) -> bool:
    return call.complete and call.signature.removeprefix("sig.") == replica


def _check_backoff(
    targets: tuple[str, str],
    arrivals: Sequence[Arrival],
    disturbances: Disturbances,
) -> list[Breach]:
    for asking in arrivals:
        since, until = asking.at + UNDER_WAY_SECONDS, asking.at + asking.backoff
        within = [one for one in arrivals if since < one.at < until]
        if len(within) <= MAX_IN_BACKOFF:
            continue
        if not disturbances.any_within(targets, asking.at, until):
            text = f"{targets}, {len(within)} more in {asking.backoff} s"
            return [Breach(BACKOFF_PROMISE, asking.attempt, text)]
    return []
