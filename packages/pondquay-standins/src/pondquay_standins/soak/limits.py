"""Whether relays share what a replica takes from all of them.

From a while after a life of a replica first named a limit it gets, in any few seconds,
half as many requests again as the limit allows and some more at most, of all those that
have passed on an answer which names it. A relay to which something was done is excused.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay_standins.soak.invariants import Breach

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from pondquay_standins.replicas import Arrival
    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.upstreamsignals import Disturbances

LIMIT_PROMISE = "relays share what a replica takes from all of them"
# Seconds after which a limit binds that was named for the first time.
CONTACT_SECONDS = 3.0
# Seconds after an answer that names it from which it binds who has passed that on.
TOLD_SECONDS = 0.5
WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
REQUEST_TOLERANCE = 5
# For which a relay is excused to which something was done, in seconds: until it has
# linked to the others again, and the window in which it went by what it knew.
EXCUSED_SECONDS = 8.0


def check_limits(
    calls: Sequence[Call], arrivals: Sequence[Arrival], disturbances: Disturbances
) -> list[Breach]:
    """Return the first breach at each life of a replica."""
    asked = {call.attempt: call for call in calls}
    by_incarnation: dict[tuple[str, int], list[Arrival]] = defaultdict(list)
    for one in sorted(arrivals, key=lambda arrival: arrival.at):
        if one.attempt in asked:
            by_incarnation[one.replica, one.born].append(one)
    found = []
    for of_incarnation in by_incarnation.values():
        for named in _split_spans(of_incarnation):
            found += _check_span(named, asked, disturbances)[:1]
    return found


def _split_spans(arrivals: Sequence[Arrival]) -> Iterator[list[Arrival]]:
    """Yield the arrivals of each time in which a life named one limit all the while."""
    span: list[Arrival] = []
    for one in arrivals:
        if span and one.limit != span[-1].limit:
            yield span
            span = []
        if one.limit is not None:
            span.append(one)
    if span:
        yield span


def _check_span(
    named: Sequence[Arrival], asked: Mapping[str, Call], disturbances: Disturbances
) -> list[Breach]:
    limit = named[0].limit or 0.0
    most = RATE_TOLERANCE * limit * WINDOW_SECONDS + REQUEST_TOLERANCE
    binding_from = named[0].at + CONTACT_SECONDS
    told_at = _list_told(named, asked)
    counted = [
        one
        for one in named
        if told_at.get(asked[one.attempt].relay, one.at) < one.at - TOLD_SECONDS
        and not disturbances.any_within(
            (asked[one.attempt].relay,), one.at - EXCUSED_SECONDS, one.at
        )
    ]
    found = []
    for first in counted:
        if first.at < binding_from:
            continue
        window = [
            one for one in counted if first.at <= one.at < first.at + WINDOW_SECONDS
        ]
        if len(window) > most:
            text = f"{first.replica}, {len(window)} in {WINDOW_SECONDS} s by {limit}"
            found.append(Breach(LIMIT_PROMISE, first.attempt, text))
    return found


def _list_told(
    named: Sequence[Arrival], asked: Mapping[str, Call]
) -> Mapping[str, float]:
    """Return when each relay first passed on an answer that names the limit."""
    told: dict[str, float] = {}
    for one in named:
        call = asked[one.attempt]
        passed_on = call.signature.removeprefix("sig.") == one.replica
        if call.complete and passed_on:
            told[call.relay] = min(call.ended, told.get(call.relay, call.ended))
    return told
