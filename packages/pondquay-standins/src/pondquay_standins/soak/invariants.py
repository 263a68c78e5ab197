"""The promises that a soak checks, from what callers got and what replicas ran."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pondquay_standins.soak.callers import EVENT_TOKENS, PROMPT_TOKENS, STREAMS, Call

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Answers that say that a request has not run and will not.
NOT_RUN = frozenset({402, 408, 421, 429, 503})
ONCE = "write"


@dataclass(frozen=True, slots=True)
class Breach:
    """A promise that was not kept.

    :param subject: the request or the relay that shows it
    """

    promise: str
    subject: str
    found: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.subject}: {self.found}"


def check_all(
    calls: Sequence[Call], runs: Iterable[Mapping[str, Any]], prepaid: int
) -> list[Breach]:
    """Return all breaches of one run.

    :param runs: what replicas say that they ran
    :param prepaid: tokens of the one workspace
    """
    by_attempt: dict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for run in runs:
        by_attempt[run["attempt"]].append(run)
    found = check_budget(by_attempt, prepaid)
    for call in calls:
        found += check_call(call, by_attempt.get(call.attempt, []))
    return found


def check_call(call: Call, runs: Sequence[Mapping[str, Any]]) -> list[Breach]:
    """Return the breaches that one request shows."""
    found = []
    if call.route == ONCE and len(runs) > 1:
        found.append(Breach("runs once at most", call.attempt, f"{len(runs)} runs"))
    if call.status in NOT_RUN and runs:
        found.append(Breach("not run is true", call.attempt, f"{call.status}, it ran"))
    if call.status == 200 and call.complete:
        found += _check_response(call, runs)
    return found


def _check_response(call: Call, runs: Sequence[Mapping[str, Any]]) -> list[Breach]:
    promise = "each gets the whole of its own answer"
    replicas = {run["replica"] for run in runs}
    if call.signature.removeprefix("sig.") not in replicas:
        return [Breach(promise, call.attempt, f"signed by {call.signature!r}")]
    if call.route in STREAMS:
        expected = "".join(
            f"id: {number}\ndata: piece {number}\n\n"
            for number in range(1, call.events + 1)
        ).encode()
        if call.body != expected:
            return [Breach(promise, call.attempt, f"{len(call.body)} bytes")]
        return []
    bodies = {f"{replica}:{call.attempt}".encode() for replica in replicas}
    if call.body not in bodies:
        return [Breach(promise, call.attempt, repr(call.body[:60]))]
    return []


def check_budget(
    by_attempt: Mapping[str, Sequence[Mapping[str, Any]]], prepaid: int
) -> list[Breach]:
    """Return a breach if more tokens were used than were prepaid.

    Tokens in count once for a request, tokens out where they were handed out.
    """
    used = 0
    for runs in by_attempt.values():
        streams = [run for run in runs if run["target"].split("/")[1] in STREAMS]
        if streams:
            used += PROMPT_TOKENS
            used += sum(EVENT_TOKENS * run["events"] for run in streams)
    if used <= prepaid:
        return []
    return [Breach("spend stays within prepaid", "moderators", f"{used} of {prepaid}")]
