"""Sizes of the soak's fleets."""

from __future__ import annotations

from dataclasses import dataclass

from pondquay_standins.routedfleet import ENGINE_SERVICE, PLAIN_SERVICE

RELAYS = ("r1", "r2", "r3")
# Service of each replica.
REPLICAS = {
    "e1": ENGINE_SERVICE,
    "e2": ENGINE_SERVICE,
    "e3": ENGINE_SERVICE,
    "e4": ENGINE_SERVICE,
    "p1": PLAIN_SERVICE,
    "p2": PLAIN_SERVICE,
}
# The replicas that faults affect. Another target would change the faults of all seeds.
FAULT_TARGETS = ("e1", "e2", "e3", "p1", "p2")
# Version of each replica's software.
SOFTWARE = {"e1": "v1", "e2": "v2", "e3": "v1", "e4": "v2", "p1": "v1", "p2": "v1"}
RESTING_CALLERS = 12
PREPAID_TOKENS_PER_RELAY = 10_000
PREPAID_TOKENS_PER_STREAM_CALLER = 50_000


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a fleet and of its load.

    :param relays: number of relays, at least one
    :param more_replicas: replicas beyond those of ``REPLICAS``
    :param resting_callers: callers whose connections rest
    :param stream_callers: callers that request long streams only
    """

    relays: int = len(RELAYS)
    more_replicas: int = 0
    resting_callers: int = RESTING_CALLERS
    stream_callers: int = 0

    @property
    def relay_names(self) -> tuple[str, ...]:
        """The names of all relays."""
        return tuple(f"r{number}" for number in range(1, self.relays + 1))

    @property
    def services(self) -> dict[str, str]:
        """The service of each replica."""
        more = {
            f"more-{number}": PLAIN_SERVICE if number % 3 == 0 else ENGINE_SERVICE
            for number in range(self.more_replicas)
        }
        return {**REPLICAS, **more}

    @property
    def software(self) -> dict[str, str]:
        """The version of each replica's software."""
        more = {
            f"more-{number}": f"v{1 + number % 2}"
            for number in range(self.more_replicas)
        }
        return {**SOFTWARE, **more}

    @property
    def fault_targets(self) -> tuple[str, ...]:
        """The replicas that faults affect."""
        return (*FAULT_TARGETS, *list(self.services)[len(REPLICAS) :])

    @property
    def prepaid(self) -> int:
        """The prepaid tokens of the workspace at the start."""
        return (
            self.relays * PREPAID_TOKENS_PER_RELAY
            + self.stream_callers * PREPAID_TOKENS_PER_STREAM_CALLER
        )
