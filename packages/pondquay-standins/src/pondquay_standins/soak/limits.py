"""Checks that relays share the rate limit that a replica reports.

After a grace period from the first report of a limit by an incarnation of a replica,
the relays that have forwarded a response with this limit may together send, in any
window of ``WINDOW_SECONDS``, at most ``RATE_TOLERANCE`` times the requests that the
limit allows, plus ``REQUEST_TOLERANCE``. Requests of disturbed relays do not count.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay_standins.soak.invariants import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from pondquay_standins.replicarecords import Arrival
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
# Covers the time until a disturbed relay is linked again, plus one window.
DISTURBANCE_GRACE_SECONDS = 8.0


def check_limits(
    calls: Sequence[Call], arrivals: Sequence[Arrival], disturbances: Disturbances
) -> list[Violation]:
    """Return the first violation in each span of arrivals with the same limit.

    Spans are formed separately for each incarnation of a replica.

    :param calls: all requests that callers sent
    :param arrivals: all requests that reached replicas
    """
    calls_by_attempt = {call.attempt: call for call in calls}
    by_incarnation: dict[tuple[str, int], list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda item: item.at):
        if arrival.attempt in calls_by_attempt:
            by_incarnation[arrival.replica, arrival.born].append(arrival)
    violations = []
    for incarnation_arrivals in by_incarnation.values():
        for span in _split_spans(incarnation_arrivals):
            violations += _check_span(span, calls_by_attempt, disturbances)[:1]
    return violations


def _split_spans(arrivals: Sequence[Arrival]) -> Iterator[list[Arrival]]:
    """Split arrivals into spans of successive arrivals with the same limit.

    Arrivals without a limit separate spans and belong to none.
    """
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
        # When a request that waited for the end of a silence was sent is not known.
        if not arrival.waited
        and known_since.get(calls_by_attempt[arrival.attempt].relay, arrival.at)
        < arrival.at - RELAY_GRACE_SECONDS
        and not disturbances.any_within(
            (calls_by_attempt[arrival.attempt].relay,),
            arrival.at - DISTURBANCE_GRACE_SECONDS,
            arrival.at,
        )
    ]
    violations = []
    for first in counted:
        if first.at < enforced_from:
            continue
        window = [
            arrival
            for arrival in counted
            if first.at <= arrival.at < first.at + WINDOW_SECONDS
        ]
        if len(window) > max_requests:
            details = (
                f"{first.replica}, {len(window)} in {WINDOW_SECONDS} s, limit {limit}"
            )
            violations.append(Violation(LIMIT_INVARIANT, first.attempt, details))
    return violations


def _find_known_since(
    span: Sequence[Arrival], calls_by_attempt: Mapping[str, Call]
) -> Mapping[str, float]:
    """Return when each relay's first forwarded response with the limit ended.

    :returns: seconds of the monotonic clock, by relay
    """
    known_since: dict[str, float] = {}
    for arrival in span:
        call = calls_by_attempt[arrival.attempt]
        is_forwarded = call.signature.removeprefix("sig.") == arrival.replica
        if call.complete and is_forwarded:
            known_since[call.relay] = min(
                call.ended, known_since.get(call.relay, call.ended)
            )
    return known_since
