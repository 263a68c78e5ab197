"""Components that the requests of one relay share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from twisted.internet.interfaces import IReactorTime

    from pondquay.policy import RelayPolicy
    from pondquay.routing.buffers import BufferPool
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.retryshares import RetryShare
    from pondquay.routing.upstreamrecords import Departure
    from pondquay_daemon.relay.accounts import AccountBook
    from pondquay_daemon.relay.activitylinks import ActivityLinks
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.crashmonitor import CrashMonitor
    from pondquay_daemon.relay.egress import EgressPool
    from pondquay_daemon.relay.fairqueues import FairQueues
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor
    from pondquay_daemon.relay.permits import PermitBroker
    from pondquay_daemon.relay.placement import Placement
    from pondquay_daemon.relay.softwarerecorder import SoftwareRecorder
    from pondquay_daemon.relay.streamlinks import StreamLinks


@dataclass(slots=True)
class RelayComponents:
    """Components that all requests of a relay use.

    :param list_age: returns the seconds since the list of upstreams was confirmed,
        ``None`` if it never was
    :param count_instances: returns the number of known instances, 0 before their list
        has been read
    :param announce_departure: announces to peers that an upstream is leaving
    :param announce_backoff: announces to peers that an upstream asked for a back-off
        in a response through a tunnel
    :param announce_load: announces to peers this instance's load at an upstream, and
        the shared prompt parts that the upstream has prefilled
    """

    clock: IReactorTime
    border: Border
    pool: EgressPool
    directory: UpstreamDirectory
    placement: Placement
    accounts: AccountBook
    retries: RetryShare
    random: Random
    metrics: RelayMetrics
    policy: RelayPolicy
    list_age: Callable[[], float | None]
    count_instances: Callable[[], int]
    announce_departure: Callable[[Departure], None]
    announce_backoff: Callable[[str, float], None]
    announce_load: Callable[[KnownUpstream, Iterable[str]], None]
    crashes: CrashMonitor
    permits: PermitBroker
    buffers: BufferPool
    activity: ActivityLinks
    overload: OverloadMonitor
    queues: FairQueues
    streams: StreamLinks
    software: SoftwareRecorder
