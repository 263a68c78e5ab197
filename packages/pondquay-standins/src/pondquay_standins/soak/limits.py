"""Checks that relays share the rate limit that a replica reports.

Once an incarnation of a replica has reported a limit for some seconds, the relays that
have forwarded a response with it may together send, in any window, at most
``RATE_TOLERANCE`` times the limit, plus ``REQUEST_TOLERANCE`` requests. Disturbed
relays are excused.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay_standins.soak.invariants import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from pondquay_standins.replicas import Arrival
    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.upstreamsignals import Disturbances

LIMIT_INVARIANT = "relays together keep within a replica's rate limit"
# Grace period from a replica's first report of a limit.
REPORT_GRACE_SECONDS = 3.0
# Grace period of a relay from the first response with the limit that it forwards.
RELAY_GRACE_SECONDS = 0.5
WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
REQUEST_TOLERANCE = 5
# Covers the time until a disturbed relay has links again, and one window after that.
DISTURBANCE_GRACE_SECONDS = 8.0


def check_limits(
    calls: Sequence[Call], arrivals: Sequence[Arrival], disturbances: Disturbances
) -> list[Violation]:
    """Return the first violation for each limit of each replica's incarnation."""
    calls_by_attempt = {call.attempt: call for call in calls}
    by_incarnation: dict[tuple[str, int], list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda item: item.at):
        if arrival.attempt in calls_by_attempt:
            by_incarnation[arrival.replica, arrival.born].append(arrival)
    found = []
    for of_incarnation in by_incarnation.values():
        for span in _split_spans(of_incarnation):
            found += _check_span(span, calls_by_attempt, disturbances)[:1]
    return found


def _split_spans(arrivals: Sequence[Arrival]) -> Iterator[list[Arrival]]:
    """Yield each longest run of successive arrivals with the same limit."""
    span: list[Arrival] = []
    for arrival in arrivals:
        if span and arrival.limit != span[-1].limit:
            yield span
            span = []
        if arrival.limit is not None:
            span.append(arrival)
    if span:
        yield span


def _check_span(
    span: Sequence[Arrival],
    calls_by_attempt: Mapping[str, Call],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return a violation for each window with too many requests."""
    limit = span[0].limit or 0.0
    max_requests = RATE_TOLERANCE * limit * WINDOW_SECONDS + REQUEST_TOLERANCE
    enforced_from = span[0].at + REPORT_GRACE_SECONDS
    known_since = _find_known_since(span, calls_by_attempt)
    counted = [
        arrival
        for arrival in span
        if known_since.get(calls_by_attempt[arrival.attempt].relay, arrival.at)
        < arrival.at - RELAY_GRACE_SECONDS
        and not disturbances.any_within(
            (calls_by_attempt[arrival.attempt].relay,),
            arrival.at - DISTURBANCE_GRACE_SECONDS,
            arrival.at,
        )
    ]
    found = []
    for first in counted:
        if first.at < enforced_from:
            continue
        window = [
            arrival
            for arrival in counted
            if first.at <= arrival.at < first.at + WINDOW_SECONDS
        ]
        if len(window) > max_requests:
            text = (
                f"{first.replica}, {len(window)} in {WINDOW_SECONDS} s, limit {limit}"
            )
            found.append(Violation(LIMIT_INVARIANT, first.attempt, text))
    return found


def _find_known_since(
    span: Sequence[Arrival], calls_by_attempt: Mapping[str, Call]
) -> Mapping[str, float]:
    """Return when each relay first forwarded a response with the limit, in seconds."""
    known_since: dict[str, float] = {}
    for arrival in span:
        call = calls_by_attempt[arrival.attempt]
        is_forwarded = call.signature.removeprefix("sig.") == arrival.replica
        if call.complete and is_forwarded:
            known_since[call.relay] = min(
                call.ended, known_since.get(call.relay, call.ended)
            )
    return known_since
