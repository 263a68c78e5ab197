"""Which faults come when: drawn from a seed, overlapping and in series."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

from pondquay_standins.replicas import ReplicaFault
from pondquay_standins.rowstore import StoreFault
from pondquay_standins.soak.proxies import ProxyFault

if TYPE_CHECKING:
    from collections.abc import Sequence

# A fault begins each so many seconds, as a mean.
BETWEEN_SECONDS = 0.5
MIN_SECONDS = 0.3
MAX_SECONDS = 3.0


class FaultKind(StrEnum):
    """What a fault strikes."""

    STORE = "store"
    STORE_LINE = "store-line"
    REPLICA = "replica"
    REPLICA_LINE = "replica-line"
    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    KILL_ALL = "kill-all"
    DRAIN = "drain"
    LEAVE = "leave"
    LAPSE = "lapse"
    CONFIGURE = "configure"
    CRASH = "crash"
    CRASHING = "crashing"
    FOREIGN_ROW = "foreign-row"
    OVERWRITTEN_ROW = "overwritten-row"
    SUSPEND = "suspend"
    SAY_LEAVING = "say-leaving"
    BACKOFF = "backoff"
    LIMIT = "limit"
    UPGRADE = "upgrade"
    TAKE_BACK = "take-back"


# These are drawn by themselves, so that a seed brings the others as it always has.
LATER_KINDS = (
    FaultKind.CRASH,
    FaultKind.CRASHING,
    FaultKind.FOREIGN_ROW,
    FaultKind.OVERWRITTEN_ROW,
    FaultKind.SUSPEND,
)
NEWEST_KINDS = (FaultKind.SAY_LEAVING, FaultKind.BACKOFF)
LIMIT_KINDS = (FaultKind.LIMIT,)
# Planned, not drawn.
ROLLING_KINDS = (FaultKind.UPGRADE, FaultKind.TAKE_BACK)
FIRST_KINDS = tuple(
    one
    for one in FaultKind
    if one not in (*LATER_KINDS, *NEWEST_KINDS, *LIMIT_KINDS, *ROLLING_KINDS)
)
# Requests a second that a replica in need takes from all relays together.
LIMITS = ("0", "0.5", "2", "8")
LATER_SEED = 1_000_000
LATER_BETWEEN_SECONDS = 1.5
NEWEST_SEED = 2_000_000
NEWEST_BETWEEN_SECONDS = 3.0
LIMIT_SEED = 3_000_000
LIMIT_BETWEEN_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of the schedule.

    :param at: when it begins, in seconds
    :param seconds: how long it lasts, where it does
    :param target: the relay or replica that it strikes, empty for the store
    :param fault: which of the target's faults it is, empty for signals
    """

    at: float
    kind: FaultKind
    seconds: float
    target: str = ""
    fault: str = ""


def plan_faults(
    seed: int, seconds: float, relays: Sequence[str], replicas: Sequence[str]
) -> list[PlannedFault]:
    """Return the faults of a run, in the order of their beginnings."""
    planned = []
    for kinds, own_seed, between in (
        (FIRST_KINDS, seed, BETWEEN_SECONDS),
        (LATER_KINDS, seed + LATER_SEED, LATER_BETWEEN_SECONDS),
        (NEWEST_KINDS, seed + NEWEST_SEED, NEWEST_BETWEEN_SECONDS),
        (LIMIT_KINDS, seed + LIMIT_SEED, LIMIT_BETWEEN_SECONDS),
    ):
        random = Random(own_seed)
        at = random.uniform(0.2, 1.0)
        while at < seconds:
            planned.append(_plan_one(random, kinds, at, relays, replicas))
            at += random.expovariate(1.0 / between)
    return sorted(planned, key=lambda one: one.at)


def plan_rolling(seconds: float, relays: Sequence[str]) -> list[PlannedFault]:
    """Return the replacement of relays by another build, one by one, and back again."""
    steps = [(kind, name) for kind in ROLLING_KINDS for name in relays]
    pause = seconds / (len(steps) + 1)
    return [
        PlannedFault(pause * number, kind, 0.0, name)
        for number, (kind, name) in enumerate(steps, start=1)
    ]


def _plan_one(
    random: Random,
    kinds: Sequence[FaultKind],
    at: float,
    relays: Sequence[str],
    replicas: Sequence[str],
) -> PlannedFault:
    kind = random.choice(kinds)
    lasts = random.uniform(MIN_SECONDS, MAX_SECONDS)
    faults: dict[FaultKind, tuple[Sequence[str], Sequence[str]]] = {
        FaultKind.STORE: ([""], _names(StoreFault)),
        FaultKind.STORE_LINE: (relays, _names(ProxyFault)),
        FaultKind.REPLICA: (replicas, _names(ReplicaFault)),
        FaultKind.REPLICA_LINE: (replicas, _names(ProxyFault)),
        FaultKind.DRAIN: (replicas, [""]),
        FaultKind.LEAVE: (replicas, [""]),
        FaultKind.LAPSE: (replicas, [""]),
        FaultKind.CRASH: (replicas, [""]),
        FaultKind.CRASHING: ([""], [""]),
        FaultKind.FOREIGN_ROW: ([""], [""]),
        FaultKind.OVERWRITTEN_ROW: (replicas, [""]),
        FaultKind.SAY_LEAVING: (replicas, [""]),
        FaultKind.BACKOFF: (replicas, [""]),
        FaultKind.LIMIT: (replicas, LIMITS),
        FaultKind.KILL_ALL: ([""], [""]),
        FaultKind.CONFIGURE: ([""], [""]),
    }
    targets, names = faults.get(kind, (relays, [""]))
    return PlannedFault(at, kind, lasts, random.choice(targets), random.choice(names))


def _names(faults: type[StrEnum]) -> list[str]:
    return [one.value for one in faults if one.value != "none"]
