"""Attempts that broke as an instance lost its connection to the replica."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pondquay_cli.logfiles import read_events
from pondquay_standins.soak.upstreamsignals import Disturbances

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.upstreamsignals import Disturbance

# Tolerance of times that are read from logs and recorded for calls.
MARGIN_SECONDS = 0.1
_DIRECT = re.compile(
    r"^Lost\(.*\bbroken=True, began=True, .*\bgateway=''\)$", re.DOTALL
)
REFUSED = "refused-502: "
BEGUN_OUTCOME = "refused-502: broke after its beginning was forwarded"
_GATEWAY = re.compile(r"^Lost\(.*\bby_gateway=True, gateway='([^']+)'\)$", re.DOTALL)


@dataclass(frozen=True, slots=True)
class PartitionBreak:
    """The last failed attempt of a call, whose connection to the replica broke.

    :param attempt: the caller's identifier of its attempt
    :param relay: the relay that the caller asked
    :param target: the instance that had the connection, the relay or its gateway
    :param at: when it was logged, in seconds of the monotonic clock
    """

    attempt: str
    relay: str
    target: str
    at: float


class PartitionBreaks:
    """The attempts of a run whose connections broke.

    :param partitions: when relays were cut off from all replicas, or killed
    """

    def __init__(
        self, breaks: Iterable[PartitionBreak], partitions: Iterable[Disturbance]
    ) -> None:
        self._breaks = {(found.attempt, found.relay): found for found in breaks}
        # A partition or a kill breaks the connections that are open when it begins.
        self._beginnings = Disturbances(
            [replace(partition, ended=partition.began) for partition in partitions]
        )

    def broke_in_partition(self, call: Call) -> bool:
        """Return whether a call broke off as the instance was cut off."""
        found = self._breaks.get((call.attempt, call.relay))
        if found is None:
            return False
        since, until = found.at - MARGIN_SECONDS, found.at + MARGIN_SECONDS
        if until < call.began or since > call.ended:
            return False
        return self._beginnings.any_within([found.target], since, until)


def list_gateway_breaks(relay: str, lines: Iterable[str]) -> list[PartitionBreak]:
    """Return the calls that ended as their last attempt broke at a gateway."""
    offset = time.time() - time.monotonic()
    broken: dict[str, PartitionBreak] = {}
    found = []
    for event in read_events(lines, relay):
        at = event.time - offset
        if event.event == "attempt-failed":
            attempt = event.fields["request"]
            broken.pop(attempt, None)
            match = _GATEWAY.match(event.fields["outcome"])
            if match is not None:
                broken[attempt] = PartitionBreak(attempt, relay, match[1], at)
        elif event.event == "request-ended":
            last = broken.pop(event.fields["request"], None)
            is_refused = event.fields["outcome"].startswith(REFUSED)
            if last is not None and is_refused and at - last.at <= MARGIN_SECONDS:
                found.append(last)
    return found


def list_begun_breaks(relay: str, lines: Iterable[str]) -> list[PartitionBreak]:
    """Return the calls that broke after a plain head was written, from a log.

    Their last attempt had a direct connection to the replica, which broke.
    """
    offset = time.time() - time.monotonic()
    direct: dict[str, bool] = {}
    found = []
    for event in read_events(lines, relay):
        if event.event == "attempt-failed":
            is_direct = _DIRECT.match(event.fields["outcome"]) is not None
            direct[event.fields["request"]] = is_direct
        elif event.event == "request-ended":
            attempt, fields = event.fields["request"], event.fields
            is_begun = (
                fields["outcome"] == BEGUN_OUTCOME and float(fields["first"]) >= 0
            )
            if is_begun and direct.get(attempt, False):
                at = event.time - offset
                found.append(PartitionBreak(attempt, relay, relay, at))
    return found
