"""Planned stops of relays, and the check that they interrupt no request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_standins.soak.callers import NO_RESPONSE, ROUTES_WITHOUT_RETRY
from pondquay_standins.soak.fleet import ROUTE_TIMEOUT_SECONDS
from pondquay_standins.soak.invariants import Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pondquay_standins.soak.callers import Call
    from pondquay_standins.soak.upstreamsignals import Disturbances

# Tolerance for requests that begin or end close to the times of a stop, such as those
# sent on a connection that the relay is closing.
STOP_MARGIN_SECONDS = 0.1
STOP_INVARIANT = "a planned stop interrupts no request"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a relay.

    :param began: when it received the signal to stop, in seconds of the monotonic clock
    :param ended: when its process ended, on the same clock
    :param status: exit status of the process
    """

    relay: str
    began: float
    ended: float
    status: int

    def interrupted(self, call: Call) -> bool:
        """Return whether the stop interrupted a request that was already in flight."""
        if call.relay != self.relay or call.complete:
            return False
        if not call.began < self.began - STOP_MARGIN_SECONDS < call.ended:
            return False
        # The request timed out, for example because its replica hung.
        if call.ended - call.began >= ROUTE_TIMEOUT_SECONDS[call.route]:
            return False
        # A response truncated before the process ends may be the replica's fault.
        ended_with_process = call.ended >= self.ended - STOP_MARGIN_SECONDS
        return call.status == NO_RESPONSE or ended_with_process


def check_stops(
    stops: Iterable[PlannedStop], calls: Sequence[Call], partitions: Disturbances
) -> list[Violation]:
    """Check that planned stops succeed and interrupt no request.

    :param partitions: when relays were cut off from all replicas
    """
    violations = []
    for stop in stops:
        if stop.status != 0:
            violations.append(
                Violation(STOP_INVARIANT, stop.relay, f"status {stop.status}")
            )
        violations += [
            Violation(
                STOP_INVARIANT, call.attempt, f"{stop.relay}, status {call.status}"
            )
            for call in calls
            if stop.interrupted(call) and not is_cut_off(call, partitions)
        ]
    return violations


def is_cut_off(call: Call, partitions: Disturbances) -> bool:
    """Return whether a partition broke a request that may not be sent again.

    A partition resets the relay's connections to replicas.
    """
    may_not_go_on = call.route in ROUTES_WITHOUT_RETRY
    return may_not_go_on and partitions.any_within([call.relay], call.began, call.ended)
