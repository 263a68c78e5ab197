"""Checks of what callers received against what ran."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_standins.deadlinebounds import are_too_many, is_late
from pondquay_standins.hostile.callers import DEADLINE_MS, EVENT
from pondquay_standins.hostile.exchanges import format_event
from pondquay_standins.retrybounds import RetryBound
from pondquay_standins.routedfleet import RETRY_RATIO

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pondquay_standins.hostile.callers import HostileCall
    from pondquay_standins.hostile.exchanges import Visit

PROMISING_STATUSES = frozenset({408, 421, 429, 503})
RETRY_WINDOW_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken rule.

    :ivar rule: name of the rule
    :ivar attempt: the request that broke it
    """

    rule: str
    attempt: str
    details: str


def find_all(
    calls: Sequence[HostileCall],
    visits: Sequence[Visit],
    retry_extra: float,
    window: float = RETRY_WINDOW_SECONDS,
) -> list[Finding]:
    """Return all broken rules of one run.

    :param retry_extra: fixed number of repeats that a service may receive in a window
    :param window: length of the window, in seconds
    """
    by_attempt: dict[str, list[Visit]] = defaultdict(list)
    for visit in visits:
        by_attempt[visit.attempt].append(visit)
    findings = [
        Finding("not what was sent", visit.attempt, visit.wrong)
        for visit in visits
        if visit.wrong
    ]
    known = {call.attempt for call in calls}
    findings += [
        Finding("not what was sent", visit.attempt, "no caller sent it")
        for visit in visits
        if visit.ran and visit.attempt not in known
    ]
    for call in calls:
        findings += check_call(call, by_attempt.get(call.attempt, []))
    findings += check_time(calls, by_attempt)
    return findings + check_repeats(calls, by_attempt, retry_extra, window)


def check_call(call: HostileCall, visits: Sequence[Visit]) -> list[Finding]:
    """Return the rules that one request broke."""
    runs = [visit for visit in visits if visit.ran]
    route, replicas = call.route, {run.replica for run in runs}
    places = ", ".join(
        f"{visit.replica} {'ran' if visit.ran else 'refused'}" for visit in visits
    )
    details = f"{route.name}, {call.status}: {places}"
    findings = []
    if not route.repeatable:
        if call.status in PROMISING_STATUSES and runs:
            findings.append(Finding("refused but ran", call.attempt, details))
        if len(runs) > 1:
            findings.append(Finding("ran twice", call.attempt, details))
    if len(replicas) > route.attempts:
        findings.append(Finding("on too many upstreams", call.attempt, details))
    if call.status and not _is_own(call, runs):
        findings.append(
            Finding(
                "not its own response", call.attempt, f"{details}; {call.body[:60]!r}"
            )
        )
    return findings


def _is_own(call: HostileCall, runs: Sequence[Visit]) -> bool:
    """Return whether a response is the request's own, and whole if it seems whole."""
    if call.name not in ("", call.attempt):
        return False
    signer = call.signature.removeprefix("sig.")
    signed = [run for run in runs if run.replica == signer]
    if not 200 <= call.status < 300:
        return not signer or call.status in {run.status for run in signed}
    if not signed or not call.name:
        return False
    if not call.complete:
        return True
    if not call.events:
        whole = any(run.status == call.status and run.whole for run in signed)
        return whole and call.body == f"{signer}:{call.attempt}".encode()
    numbers = [int(number) for number, _, _ in EVENT.findall(call.body)]
    expected = b"".join(format_event(call.attempt, number) for number in numbers)
    return call.body == expected and numbers == list(range(1, call.events + 1))


def check_time(
    calls: Sequence[HostileCall], by_attempt: Mapping[str, Sequence[Visit]]
) -> list[Finding]:
    """Return a finding if many replicas got more time than was left."""
    judged = late = 0
    for call in calls:
        until = call.began + DEADLINE_MS / 1000
        for visit in by_attempt.get(call.attempt, ()):
            judged += 1
            late += is_late(visit.at, visit.deadline, until)
    if not are_too_many(late, judged):
        return []
    return [Finding("too much time", "", f"{late} of {judged} deadlines")]


def check_repeats(
    calls: Iterable[HostileCall],
    by_attempt: Mapping[str, Sequence[Visit]],
    retry_extra: float,
    window: float = RETRY_WINDOW_SECONDS,
) -> list[Finding]:
    """Return the services that received too many repeats in a window."""
    requests: dict[str, list[float]] = defaultdict(list)
    repeats: dict[str, list[float]] = defaultdict(list)
    for call in calls:
        requests[call.route.service].append(call.began)
        ordered = sorted(visit.at for visit in by_attempt.get(call.attempt, []))
        repeats[call.route.service] += ordered[1:]
    bound = RetryBound(RETRY_RATIO, retry_extra, window)
    findings = []
    for service, times in repeats.items():
        excess = bound.find_excess(requests[service], times)
        if excess > 0:
            findings.append(
                Finding("too many repeats", service, f"{excess:.1f} too many")
            )
    return findings


def count_statuses(calls: Iterable[HostileCall]) -> Counter[int]:
    """Return how many calls ended with each status."""
    return Counter(call.status for call in calls)
