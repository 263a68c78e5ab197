"""Attempts that broke since their gateway lost its connection to the replica."""

from __future__ import annotations

import re
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_cli.logfiles import read_events

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.upstreamsignals import Disturbances

# Tolerance of times that are read from logs and recorded for calls.
MARGIN_SECONDS = 0.1
_GATEWAY = re.compile(r"^Lost\(.*\bby_gateway=True, gateway='([^']+)'\)$", re.DOTALL)


@dataclass(frozen=True, slots=True)
class GatewayBreak:
    """The last failed attempt of a call, which broke at its gateway.

    :param attempt: the caller's identifier of its attempt
    :param relay: the relay that the caller asked
    :param at: when it was logged, in seconds of the monotonic clock
    """

    attempt: str
    relay: str
    gateway: str
    at: float


class GatewayBreaks:
    """The attempts of a run that broke at their gateways.

    :param partitions: when relays were cut off from all replicas
    """

    def __init__(
        self, breaks: Iterable[GatewayBreak], partitions: Disturbances
    ) -> None:
        self._breaks = {(found.attempt, found.relay): found for found in breaks}
        self._partitions = partitions

    def broke_in_partition(self, call: Call) -> bool:
        """Return whether a call broke off since its gateway was cut off."""
        found = self._breaks.get((call.attempt, call.relay))
        if found is None:
            return False
        since, until = found.at - MARGIN_SECONDS, found.at + MARGIN_SECONDS
        if until < call.began or since > call.ended:
            return False
        return self._partitions.any_within([found.gateway], since, until)


def list_gateway_breaks(relay: str, lines: Iterable[str]) -> list[GatewayBreak]:
    """Return the calls whose last failed attempt broke at a gateway, from a log."""
    offset = time.time() - time.monotonic()
    found: dict[str, GatewayBreak] = {}
    for event in read_events(lines, relay):
        if event.event != "attempt-failed":
            continue
        attempt = event.fields["request"]
        found.pop(attempt, None)
        match = _GATEWAY.match(event.fields["outcome"])
        if match is not None:
            at = event.time - offset
            found[attempt] = GatewayBreak(attempt, relay, match[1], at)
    return list(found.values())
