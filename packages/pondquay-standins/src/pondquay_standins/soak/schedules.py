"""Plans the faults of a run, at times and with values drawn from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

from pondquay_standins.replicafaults import ReplicaFault
from pondquay_standins.rowstore import StoreFault
from pondquay_standins.silences import SilenceKind
from pondquay_standins.soak.proxies import ProxyFault

if TYPE_CHECKING:
    from collections.abc import Sequence

# Mean interval between faults of ``BASE_KINDS``.
BASE_INTERVAL_SECONDS = 0.5
# Range of a fault's duration.
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0


class FaultKind(StrEnum):
    """Kind of a fault: the affected connection or process, or the action taken."""

    STORE = "store"
    STORE_PROXY = "store-line"
    REPLICA = "replica"
    REPLICA_PROXY = "replica-line"
    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    KILL_ALL = "kill-all"
    DRAIN = "drain"
    LEAVE = "leave"
    MISSING_ROW = "lapse"
    CONFIGURE = "configure"
    CRASH = "crash"
    CRASHING_REQUEST = "crashing"
    FOREIGN_ROW = "foreign-row"
    OVERWRITTEN_ROW = "overwritten-row"
    SUSPEND = "suspend"
    SIGNAL_LEAVING = "say-leaving"
    BACKOFF = "backoff"
    LIMIT = "limit"
    SKEWED_CALLERS = "skewed-callers"
    SLOW_RELAY = "slow-relay"
    SLOW_READERS = "slow-readers"
    SLOW_REPLICA = "slow-replica"
    SURGE = "surge"
    PARTITION = "partition"
    WRONG_RESPONSES = "wrong-responses"
    SILENCE = "silence"
    IDLE_LIMIT = "idle-limit"
    STALL = "stall"
    RELOAD = "reload"
    UPGRADE = "upgrade"
    DOWNGRADE = "take-back"
    LOSS = "loss"
    RELEASE = "release"


class ReleaseKind(StrEnum):
    """How all replicas of a service change to another software version.

    ``announced`` replicas are replaced by others and announce in their rows that they
    leave, ``unlisted`` ones lose their rows, and both serve on for a while. ``renamed``
    ones end, and others start at their addresses. ``renewed`` ones start again.
    """

    ANNOUNCED = "announced"
    UNLISTED = "unlisted"
    RENAMED = "renamed"
    RENEWED = "renewed"


# Each group of kinds has its own random generator, so that adding a group does not
# change the faults of the other groups for a seed.
CRASH_AND_ROW_KINDS = (
    FaultKind.CRASH,
    FaultKind.CRASHING_REQUEST,
    FaultKind.FOREIGN_ROW,
    FaultKind.OVERWRITTEN_ROW,
    FaultKind.SUSPEND,
)
UPSTREAM_SIGNAL_KINDS = (FaultKind.SIGNAL_LEAVING, FaultKind.BACKOFF)
LIMIT_KINDS = (FaultKind.LIMIT,)
LOAD_KINDS = (
    FaultKind.SKEWED_CALLERS,
    FaultKind.SLOW_RELAY,
    FaultKind.SLOW_READERS,
    FaultKind.SLOW_REPLICA,
    FaultKind.SURGE,
)
PARTITION_KINDS = (FaultKind.PARTITION,)
RESPONSE_KINDS = (FaultKind.WRONG_RESPONSES,)
SILENCE_KINDS = (FaultKind.SILENCE,)
# Planned in series, with others of ``SERIES_COMPANIONS``.
SERIES_KINDS = (FaultKind.IDLE_LIMIT, FaultKind.STALL, FaultKind.RELOAD)
SERIES_COMPANIONS = (
    FaultKind.STALL,
    FaultKind.SLOW_RELAY,
    FaultKind.STOP,
    FaultKind.RELOAD,
)
# Planned at fixed times, not at random ones.
REPLACEMENT_KINDS = (FaultKind.UPGRADE, FaultKind.DOWNGRADE)
# Planned in series, for seeds from ``FIRST_LOSS_SEED`` on only.
LOSS_KINDS = (FaultKind.LOSS, FaultKind.RELEASE)
BASE_KINDS = tuple(
    kind
    for kind in FaultKind
    if kind
    not in (
        *CRASH_AND_ROW_KINDS,
        *UPSTREAM_SIGNAL_KINDS,
        *LIMIT_KINDS,
        *LOAD_KINDS,
        *PARTITION_KINDS,
        *RESPONSE_KINDS,
        *SILENCE_KINDS,
        *SERIES_KINDS,
        *REPLACEMENT_KINDS,
        *LOSS_KINDS,
    )
)
# Rate limits that a replica reports for all relays together, in requests per second.
RATE_LIMITS = ("0", "0.5", "2", "8")
# Factors of the delays of a slow replica.
DELAY_FACTORS = ("2", "5", "20")
CRASH_AND_ROW_SEED_OFFSET = 1_000_000
CRASH_AND_ROW_INTERVAL_SECONDS = 1.5
UPSTREAM_SIGNAL_SEED_OFFSET = 2_000_000
UPSTREAM_SIGNAL_INTERVAL_SECONDS = 3.0
LIMIT_SEED_OFFSET = 3_000_000
LIMIT_INTERVAL_SECONDS = 4.0
LOAD_SEED_OFFSET = 4_000_000
LOAD_INTERVAL_SECONDS = 3.0
PARTITION_SEED_OFFSET = 5_000_000
PARTITION_INTERVAL_SECONDS = 3.0
RESPONSE_SEED_OFFSET = 6_000_000
RESPONSE_INTERVAL_SECONDS = 2.0
SILENCE_SEED_OFFSET = 7_000_000
SILENCE_INTERVAL_SECONDS = 1.0
# Range of a silence's duration, which ends before a replica counts as hung.
MIN_SILENCE_SECONDS = 0.8
MAX_SILENCE_SECONDS = 1.6
SERIES_SEED_OFFSET = 8_000_000
SERIES_INTERVAL_SECONDS = 4.0
SERIES_SECONDS = 2.0
MIN_CHANGES, MAX_CHANGES = 2, 5
# Earlier seeds keep the faults with which they were recorded.
FIRST_LOSS_SEED = 100_000
LOSS_SEED_OFFSET = 10_000_000
# Least and mean additional time between losses.
MIN_LOSS_INTERVAL_SECONDS = 3.5
LOSS_INTERVAL_SECONDS = 2.0
# Time between the kill of all relays and their start.
DOWN_SECONDS = 0.3
# Range of the time from a release to the loss of all relays, if it comes before.
RELEASED_SECONDS_RANGE = (0.05, 1.5)
STARTING_SECONDS_RANGE = (0.1, 1.2)
SECOND_LOSS_FRACTION = 0.4
STORE_FAULT_FRACTION = 0.4
# Idle limits of callers' connections, in seconds.
IDLE_LIMITS = ("1", "1.5", "3", "6", "15")
# Faults of replicas with a group, and so a random generator, of their own.
RESPONSE_FAULTS = (
    ReplicaFault.LATE_REFUSAL,
    ReplicaFault.UNFRAMED,
    ReplicaFault.ENDLESS,
    ReplicaFault.ENDLESS_REFUSAL,
)
# Another fault to draw from would change the faults of all seeds.
BASE_STORE_FAULTS = tuple(
    fault for fault in StoreFault if fault not in (StoreFault.NONE, StoreFault.SLOW)
)
BASE_REPLICA_FAULTS = tuple(
    fault
    for fault in ReplicaFault
    if fault not in (ReplicaFault.NONE, *RESPONSE_FAULTS)
)


FAULT_SECONDS_RANGE = (MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
DURATION_RANGES = {FaultKind.SILENCE: (MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault and when it begins.

    :param at: when it begins, in seconds from the beginning of fault injection
    :param seconds: how long it lasts, unused by kinds without an end
    :param target: the affected relay or replica, empty if the kind needs none
    :param fault: the fault, rate limit or factor to set, empty if the kind needs none
    """

    at: float
    kind: FaultKind
    seconds: float
    target: str = ""
    fault: str = ""


def plan_faults(
    seed: int, seconds: float, relays: Sequence[str], replicas: Sequence[str]
) -> list[PlannedFault]:
    """Return the faults of a run in the order in which they begin.

    :param seconds: length of the period in which faults begin
    """
    planned = []
    for kinds, group_seed, mean_interval in (
        (BASE_KINDS, seed, BASE_INTERVAL_SECONDS),
        (
            CRASH_AND_ROW_KINDS,
            seed + CRASH_AND_ROW_SEED_OFFSET,
            CRASH_AND_ROW_INTERVAL_SECONDS,
        ),
        (
            UPSTREAM_SIGNAL_KINDS,
            seed + UPSTREAM_SIGNAL_SEED_OFFSET,
            UPSTREAM_SIGNAL_INTERVAL_SECONDS,
        ),
        (LIMIT_KINDS, seed + LIMIT_SEED_OFFSET, LIMIT_INTERVAL_SECONDS),
        (LOAD_KINDS, seed + LOAD_SEED_OFFSET, LOAD_INTERVAL_SECONDS),
        (PARTITION_KINDS, seed + PARTITION_SEED_OFFSET, PARTITION_INTERVAL_SECONDS),
        (RESPONSE_KINDS, seed + RESPONSE_SEED_OFFSET, RESPONSE_INTERVAL_SECONDS),
        (SILENCE_KINDS, seed + SILENCE_SEED_OFFSET, SILENCE_INTERVAL_SECONDS),
    ):
        random = Random(group_seed)
        at = random.uniform(0.2, 1.0)
        while at < seconds:
            planned.append(_draw_fault(random, kinds, at, relays, replicas))
            at += random.expovariate(1.0 / mean_interval)
    planned += _plan_all_series(Random(seed + SERIES_SEED_OFFSET), seconds, relays)
    if seed >= FIRST_LOSS_SEED:
        planned += plan_losses(Random(seed + LOSS_SEED_OFFSET), seconds)
    return sorted(planned, key=lambda fault: fault.at)


def draw_idle_limit(random: Random) -> str:
    """Return an idle limit of callers' connections, in seconds."""
    return random.choice(IDLE_LIMITS)


def _plan_all_series(
    random: Random, seconds: float, relays: Sequence[str]
) -> list[PlannedFault]:
    """Return series of changed idle limits that overlap what happens to one relay."""
    planned = []
    at = random.uniform(0.2, 1.0)
    while at < seconds:
        for _ in range(random.randint(MIN_CHANGES, MAX_CHANGES)):
            offset = random.uniform(0.0, SERIES_SECONDS)
            limit = draw_idle_limit(random)
            planned.append(
                PlannedFault(at + offset, FaultKind.IDLE_LIMIT, 0.0, fault=limit)
            )
        relay = random.choice(relays)
        for kind in random.sample(SERIES_COMPANIONS, random.randint(1, 3)):
            offset = random.uniform(0.0, SERIES_SECONDS)
            duration = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
            planned.append(PlannedFault(at + offset, kind, duration, relay))
        at += random.expovariate(1.0 / SERIES_INTERVAL_SECONDS)
    return planned


def plan_losses(random: Random, seconds: float) -> list[PlannedFault]:
    """Return losses of all relays, with releases before, during and after them.

    Some relays are killed again while they start, and some losses overlap a fault of
    the store. Replicas start again under their names only while no relay runs.
    """
    planned = []
    at = random.uniform(1.5, 2.5)
    while at < seconds:
        planned.append(PlannedFault(at, FaultKind.LOSS, DOWN_SECONDS))
        starting = random.uniform(*STARTING_SECONDS_RANGE)
        if random.random() < SECOND_LOSS_FRACTION:
            again_at = at + DOWN_SECONDS + starting
            planned.append(PlannedFault(again_at, FaultKind.LOSS, DOWN_SECONDS))
        kind = random.choice(tuple(ReleaseKind))
        lead = random.uniform(*RELEASED_SECONDS_RANGE)
        offset = random.choice((-lead, DOWN_SECONDS / 2, DOWN_SECONDS + lead))
        if kind is ReleaseKind.RENEWED:
            offset = DOWN_SECONDS / 2
        duration = random.uniform(MIN_FAULT_SECONDS, 1.5)
        release = PlannedFault(
            max(0.0, at + offset), FaultKind.RELEASE, duration, fault=kind.value
        )
        planned.append(release)
        fault = random.choice((*BASE_STORE_FAULTS, StoreFault.SLOW)).value
        begin = max(0.0, at + random.uniform(-0.5, 0.5))
        if random.random() < STORE_FAULT_FRACTION:
            planned.append(
                PlannedFault(begin, FaultKind.STORE, duration + lead, fault=fault)
            )
        at += MIN_LOSS_INTERVAL_SECONDS
        at += random.expovariate(1.0 / LOSS_INTERVAL_SECONDS)
    return planned


def plan_replacements(seconds: float, relays: Sequence[str]) -> list[PlannedFault]:
    """Return a rolling upgrade of all relays followed by a rolling downgrade.

    :param seconds: length of the period over which the steps are spread evenly
    """
    steps = [(kind, name) for kind in REPLACEMENT_KINDS for name in relays]
    interval = seconds / (len(steps) + 1)
    return [
        PlannedFault(interval * number, kind, 0.0, name)
        for number, (kind, name) in enumerate(steps, start=1)
    ]


def _draw_fault(
    random: Random,
    kinds: Sequence[FaultKind],
    at: float,
    relays: Sequence[str],
    replicas: Sequence[str],
) -> PlannedFault:
    """Draw a fault of one of the kinds.

    The number and order of draws determine the faults of a seed.
    """
    kind = random.choice(kinds)
    duration = random.uniform(*DURATION_RANGES.get(kind, FAULT_SECONDS_RANGE))
    faults: dict[FaultKind, tuple[Sequence[str], Sequence[str]]] = {
        FaultKind.STORE: ([""], BASE_STORE_FAULTS),
        FaultKind.STORE_PROXY: (relays, _list_faults(ProxyFault)),
        FaultKind.REPLICA: (replicas, BASE_REPLICA_FAULTS),
        FaultKind.WRONG_RESPONSES: (replicas, RESPONSE_FAULTS),
        FaultKind.REPLICA_PROXY: (replicas, _list_faults(ProxyFault)),
        FaultKind.DRAIN: (replicas, [""]),
        FaultKind.LEAVE: (replicas, [""]),
        FaultKind.MISSING_ROW: (replicas, [""]),
        FaultKind.CRASH: (replicas, [""]),
        FaultKind.CRASHING_REQUEST: ([""], [""]),
        FaultKind.FOREIGN_ROW: ([""], [""]),
        FaultKind.OVERWRITTEN_ROW: (replicas, [""]),
        FaultKind.SIGNAL_LEAVING: (replicas, [""]),
        FaultKind.BACKOFF: (replicas, [""]),
        FaultKind.LIMIT: (replicas, RATE_LIMITS),
        FaultKind.SLOW_REPLICA: (replicas, DELAY_FACTORS),
        FaultKind.SILENCE: (replicas, _list_faults(SilenceKind)),
        FaultKind.SURGE: ([""], [""]),
        FaultKind.KILL_ALL: ([""], [""]),
        FaultKind.CONFIGURE: ([""], [""]),
    }
    targets, names = faults.get(kind, (relays, [""]))
    return PlannedFault(
        at, kind, duration, random.choice(targets), random.choice(names)
    )


def _list_faults(faults: type[StrEnum]) -> list[str]:
    """Return the values of all faults except ``none``."""
    return [fault.value for fault in faults if fault.value != "none"]
