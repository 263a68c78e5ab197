"""Callers of long streams, which they take up until these go on, for some seconds."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_standins.soak.callers import (
    OK,
    RESUMABLE_ROUTE,
    Call,
    Caller,
    PlannedRequest,
)

if TYPE_CHECKING:
    from random import Random

EVENTS = 60
# For how long a caller tries to take a stream up. Relays start within this time.
TAKE_UP_SECONDS = 10.0
RETRY_SECONDS = 0.1


@dataclass
class StreamCaller(Caller):
    """A caller that requests long streams only and does not give them up at once."""

    def _draw_request(
        self, attempt: str, broken: Call | None, random: Random
    ) -> PlannedRequest:
        if broken is not None:
            return super()._draw_request(attempt, broken, random)
        return PlannedRequest(attempt, RESUMABLE_ROUTE, EVENTS)

    def _find_broken(self, call: Call, previous: Call | None) -> Call | None:
        broken = super()._find_broken(call, previous)
        if broken is not None or previous is None or call.status == OK:
            return broken
        if time.monotonic() > previous.ended + TAKE_UP_SECONDS:
            return None
        self._stopping.wait(RETRY_SECONDS)
        return previous
