"""Checks that relays follow the signals in replicas' responses.

After a relay has forwarded a response that marks its replica as leaving, it sends that
replica no request that a caller began after a grace period. When a replica asks for
back-off, the relay sends it at most ``MAX_BACKOFF_REQUESTS`` requests during the
back-off, not counting those in flight. Disturbances of the relay or of the replica's
connections excuse violations. A signal applies to one incarnation of a replica.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_standins.soak.invariants import NON_IDEMPOTENT_ROUTE, Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pondquay_standins.replicarecords import Arrival
    from pondquay_standins.soak.callers import Call

LEAVING_INVARIANT = "an instance stops using an upstream that signals it is leaving"
BACKOFF_INVARIANT = "an instance backs off from an upstream that asks for it"
# Grace period from the end of a forwarded response that is marked as leaving.
LEAVING_GRACE_SECONDS = 2.0
# Time for requests in flight to arrive when a replica asks for back-off.
IN_FLIGHT_SECONDS = 0.5
# Maximum number of requests that arrive later during the back-off.
MAX_BACKOFF_REQUESTS = 2


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time span in which violations of a relay or at a replica are excused.

    It covers an injected fault, or a build that lacks the checked feature.

    :param target: name of the relay or the replica
    :param began: when it began, in seconds of the monotonic clock
    :param ended: when it ended, on the same clock
    """

    target: str
    began: float
    ended: float


class Disturbances:
    """All disturbances of one run, by target."""

    def __init__(self, disturbances: Iterable[Disturbance]) -> None:
        self._by_target: Mapping[str, list[Disturbance]] = defaultdict(list)
        for disturbance in disturbances:
            self._by_target[disturbance.target].append(disturbance)

    def any_within(self, targets: Iterable[str], since: float, until: float) -> bool:
        """Return whether any of the targets was disturbed at some time in a span."""
        return any(
            disturbance.began <= until and disturbance.ended >= since
            for target in targets
            for disturbance in self._by_target.get(target, ())
        )


def check_upstream_signals(
    calls: Sequence[Call],
    arrivals: Sequence[Arrival],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return each relay's first violations for each incarnation of a replica.

    :param calls: all requests that callers sent
    :param arrivals: all requests that reached replicas
    """
    calls_by_attempt = {call.attempt: call for call in calls}
    by_pair: dict[tuple[str, str, int], list[Arrival]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda item: item.at):
        if arrival.attempt in calls_by_attempt:
            by_pair[
                calls_by_attempt[arrival.attempt].relay, arrival.replica, arrival.born
            ].append(arrival)
    violations = []
    for (relay, replica, _), pair_arrivals in by_pair.items():
        targets = (relay, replica)
        violations += _check_leaving(
            targets, pair_arrivals, calls_by_attempt, disturbances
        )
        answered = [
            arrival
            for arrival in pair_arrivals
            if _may_be_answered(arrival, calls_by_attempt[arrival.attempt])
        ]
        violations += _check_backoff(targets, answered, pair_arrivals, disturbances)
    return violations


def _check_leaving(
    targets: tuple[str, str],
    arrivals: Sequence[Arrival],
    calls_by_attempt: Mapping[str, Call],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return a violation for the first late request after a leaving signal."""
    _, replica = targets
    forwarded = [
        calls_by_attempt[arrival.attempt].ended
        for arrival in arrivals
        if arrival.leaving and _is_forwarded(calls_by_attempt[arrival.attempt], replica)
    ]
    if not forwarded:
        return []
    since = min(forwarded)
    for arrival in arrivals:
        if calls_by_attempt[arrival.attempt].began <= since + LEAVING_GRACE_SECONDS:
            continue
        if not disturbances.any_within(targets, since, arrival.at):
            details = f"{targets}, {arrival.at - since:.1f} s after the signal"
            return [Violation(LEAVING_INVARIANT, arrival.attempt, details)]
    return []


def _is_forwarded(call: Call, replica: str) -> bool:
    """Return whether the caller received a complete response signed by a replica."""
    return call.complete and call.signature.removeprefix("sig.") == replica


def _may_be_answered(arrival: Arrival, call: Call) -> bool:
    """Return whether a relay can still receive the response to a request.

    When its caller leaves, a relay closes the connection to the replica, unless the
    request may not be repeated. A slow line may deliver the request later.
    """
    return call.route == NON_IDEMPOTENT_ROUTE or arrival.at <= call.ended


def _check_backoff(
    targets: tuple[str, str],
    signals: Sequence[Arrival],
    arrivals: Sequence[Arrival],
    disturbances: Disturbances,
) -> list[Violation]:
    """Return a violation for the first back-off with too many requests.

    :param signals: the arrivals whose response the relay can have received
    """
    for signal in signals:
        asked_at = signal.at + signal.held_seconds
        since, until = asked_at + IN_FLIGHT_SECONDS, asked_at + signal.backoff
        # When a request that waited for the end of a silence was sent is not known.
        within = [
            arrival
            for arrival in arrivals
            if since < arrival.at < until and not arrival.waited
        ]
        if len(within) <= MAX_BACKOFF_REQUESTS:
            continue
        if not disturbances.any_within(targets, asked_at, until):
            details = f"{targets}, {len(within)} requests in {signal.backoff} s"
            return [Violation(BACKOFF_INVARIANT, signal.attempt, details)]
    return []
