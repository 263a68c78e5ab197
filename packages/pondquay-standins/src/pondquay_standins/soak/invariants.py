"""Invariants checked after a run against calls and the replicas' records."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pondquay_standins.floods import COMMENT
from pondquay_standins.replicarecords import CRASHING_PART_PREFIX, format_event
from pondquay_standins.soak.callers import (
    CRASHING_PROMPT_TOKENS,
    PROMPT_TOKENS,
    STREAMING_ROUTES,
    TOKENS_PER_EVENT,
    Call,
    read_events,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Statuses that guarantee that the request did not run and will not.
NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})
NON_IDEMPOTENT_ROUTE = "write"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant.

    :param subject: the request or relay that violates it
    :param details: what was observed
    """

    invariant: str
    subject: str
    details: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.subject}: {self.details}"


def check_all(
    calls: Sequence[Call], runs: Iterable[Mapping[str, Any]], prepaid: int
) -> list[Violation]:
    """Return all violations of one run of the soak.

    :param calls: all requests that callers sent
    :param runs: the replicas' records of the requests that they ran
    :param prepaid: prepaid tokens of the only workspace
    """
    by_attempt: dict[str, list[Mapping[str, Any]]] = defaultdict(list)
    for run in runs:
        by_attempt[run["attempt"]].append(run)
    violations = check_budget(by_attempt, prepaid)
    for call in calls:
        violations += check_call(call, by_attempt.get(call.attempt, []))
    return violations


def check_call(call: Call, runs: Sequence[Mapping[str, Any]]) -> list[Violation]:
    """Return the violations of one request, given its runs at replicas."""
    violations = []
    if call.route == NON_IDEMPOTENT_ROUTE and len(runs) > 1:
        violations.append(
            Violation("runs at most once", call.attempt, f"{len(runs)} runs")
        )
    if call.status in NOT_RUN_STATUSES and runs:
        violations.append(
            Violation(
                "a request reported as not run did not run",
                call.attempt,
                f"{call.status}, but it ran",
            )
        )
    if call.status == 200 and call.complete:
        violations += _check_response(call, runs)
    return violations


def _check_response(call: Call, runs: Sequence[Mapping[str, Any]]) -> list[Violation]:
    """Return a violation if a response isn't that of a replica that ran the request."""
    invariant = "a complete response belongs to its request"
    replicas = {run["replica"] for run in runs}
    if call.signature.removeprefix("sig.") not in replicas:
        return [Violation(invariant, call.attempt, f"signed by {call.signature!r}")]
    if call.route in STREAMING_ROUTES:
        events = read_events(call.body)
        numbers = list(range(call.after + 1, call.events + 1))
        expected = b"".join(format_event(*event) for event in events)
        body = call.body
        if any(run.get("endless") for run in runs):
            # One of the endless responses is a stream of comments, which are forwarded.
            body = body.replace(COMMENT, b"")
        if body != expected or [number for number, _ in events] != numbers:
            return [
                Violation(
                    invariant,
                    call.attempt,
                    f"{len(call.body)} bytes, not as expected",
                )
            ]
        return []
    bodies = {f"{replica}:{call.attempt}".encode() for replica in replicas}
    if call.body not in bodies:
        return [Violation(invariant, call.attempt, repr(call.body[:60]))]
    return []


def check_budget(
    by_attempt: Mapping[str, Sequence[Mapping[str, Any]]], prepaid: int
) -> list[Violation]:
    """Return a violation if more tokens were used than were prepaid.

    A request's prompt tokens count once, even if it is resumed. Its output tokens count
    for each event that a replica sent.

    :param by_attempt: the replicas' records of requests, by attempt ID
    :param prepaid: prepaid tokens of the workspace
    """
    used = 0
    for runs in by_attempt.values():
        streams = [
            run for run in runs if run["target"].split("/")[1] in STREAMING_ROUTES
        ]
        if streams:
            used += _count_prompt_tokens(streams[0])
            used += sum(TOKENS_PER_EVENT * run["events"] for run in streams)
    if used <= prepaid:
        return []
    return [
        Violation(
            "usage stays within the prepaid budget",
            "moderators",
            f"{used} tokens used of {prepaid}",
        )
    ]


def _count_prompt_tokens(run: Mapping[str, Any]) -> int:
    """Return the prompt tokens of a run; prompts that crash replicas are shorter."""
    is_crashing = any(part.startswith(CRASHING_PART_PREFIX) for part in run["parts"])
    return CRASHING_PROMPT_TOKENS if is_crashing else PROMPT_TOKENS
