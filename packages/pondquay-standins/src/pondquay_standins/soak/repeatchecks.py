"""Checks of how often and for how long upstreams receive one request.

- In any window, all relays together send a service no more than a fraction of its
  requests and a fixed number beyond the first arrival of each request.
- A request runs at no more replicas than its route allows; those that end or lose
  their lines meanwhile do not count.
- Replicas get no more time than is left of the request's.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay_standins.deadlinebounds import are_too_many, is_late
from pondquay_standins.soak.callers import SERVICES
from pondquay_standins.soak.fleet import ROUTE_ATTEMPTS, ROUTE_TIMEOUT_SECONDS
from pondquay_standins.soak.invariants import Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence
    from typing import Any

    from pondquay_standins.replicarecords import Arrival
    from pondquay_standins.retrybounds import RetryBound
    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.upstreamsignals import Disturbances

SHARE_INVARIANT = "relays together keep to the share of retries"
ATTEMPTS_INVARIANT = "a request runs at no more replicas than its route allows"
TIME_INVARIANT = "replicas get no more time than is left"
CRASHED = "crashed"


def check_share(
    calls: Iterable[Call],
    arrivals: Iterable[Arrival],
    services: Mapping[str, str],
    bound: RetryBound,
) -> list[Violation]:
    """Return a violation for each service that receives too many retries.

    :param calls: the requests of callers; those of others began when they arrived
    :param services: service of each replica
    """
    began = {call.attempt: (SERVICES[call.route], call.began) for call in calls}
    repeated: dict[str, list[float]] = defaultdict(list)
    arrived: set[str] = set()
    for arrival in sorted(arrivals, key=lambda item: item.at):
        service = services[arrival.replica]
        if arrival.attempt in arrived:
            repeated[service].append(arrival.at)
        arrived.add(arrival.attempt)
        began.setdefault(arrival.attempt, (service, arrival.at))
    violations = []
    for service, times in repeated.items():
        sent = [at for name, at in began.values() if name == service]
        excess = bound.find_excess(sent, times)
        if excess > 0:
            details = f"{excess:.1f} too many of {len(times)} retries"
            violations.append(Violation(SHARE_INVARIANT, service, details))
    return violations


def check_attempts(
    calls: Iterable[Call],
    runs: Iterable[Mapping[str, Any]],
    lines: Disturbances,
) -> list[Violation]:
    """Return the requests that ran at more replicas than their routes allow.

    :param runs: the replicas' records of the requests that they ran
    :param lines: times in which replicas ended, or their lines lost bytes
    """
    replicas: dict[str, set[str]] = defaultdict(set)
    for run in runs:
        if run["ended"] != CRASHED:
            replicas[run["attempt"]].add(run["replica"])
    violations = []
    for call in calls:
        ran_at = {
            name
            for name in replicas.get(call.attempt, set())
            if not lines.any_within((name, call.relay), call.began, call.ended)
        }
        if len(ran_at) > ROUTE_ATTEMPTS[call.route]:
            details = f"{call.route} ran at {sorted(ran_at)}"
            violations.append(Violation(ATTEMPTS_INVARIANT, call.attempt, details))
    return violations


def check_time(
    calls: Iterable[Call], arrivals: Sequence[Arrival], disturbances: Disturbances
) -> list[Violation]:
    """Return a violation if many replicas get more time than is left.

    :param disturbances: times in which a relay or a line was disturbed
    """
    by_attempt = {call.attempt: call for call in calls}
    judged = late = 0
    for arrival in arrivals:
        call = by_attempt.get(arrival.attempt)
        if call is None or arrival.waited:
            continue
        if disturbances.any_within(
            (call.relay, arrival.replica), call.began, arrival.at
        ):
            continue
        judged += 1
        until = call.began + ROUTE_TIMEOUT_SECONDS[call.route]
        late += is_late(arrival.at, arrival.deadline, until)
    if not are_too_many(late, judged):
        return []
    return [Violation(TIME_INVARIANT, "relays", f"{late} of {judged} deadlines")]
