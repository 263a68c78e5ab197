"""Simulation of strategies for sharing an upstream's rate limit among instances.

The scenarios differ in the number of instances, the limit, whether callers use one
instance or all, and the fleet: steady, with instances that stop and restart in turn
(``churn``), or with a build without rate limits on half of the instances (``mixed``).
Callers send four times as many requests as the limit allows. The measurements are the
largest number of requests in any 4 s relative to what the upstream tolerates, the used
fraction of the limit, and the control traffic of the busiest instance.

    python -m pondquay_lab.limitruns
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, deque
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from itertools import count, product
from random import Random
from typing import TYPE_CHECKING, ClassVar

from pondquay.routing.coldshares import choose_senders
from pondquay.routing.issuers import IssuerSelector, LinkedPeers
from pondquay.routing.permitcache import PermitCache
from pondquay.routing.ratelimits import PERMIT_LIFETIME_SECONDS, PermitIssuer
from pondquay_daemon.relay.peermessages import (
    PermitGrant,
    PermitRequest,
    encode_message,
)
from pondquay_daemon.relay.permits import NO_ISSUER_RETRY_SECONDS, PERMIT_WAIT_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

UPSTREAM = "i-0123456789@1784927213442"
INSTANCE_COUNTS = (8, 30, 100, 195)
# Requests per second that the upstream allows.
LIMITS = (0.5, 5.0, 50.0)
# Callers' requests relative to the limit.
DEMAND_RATIO = 4.0
MAX_INSTANCES_PER_DOMAIN = 40
# Time from which requests are counted, and the end of the run.
MEASURE_START_SECONDS = 6.0
END_SECONDS = 36.0
# In any window, the upstream tolerates ``RATE_TOLERANCE`` times the limit, plus
# ``REQUEST_TOLERANCE`` requests.
WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
REQUEST_TOLERANCE = 5
ONE_WAY_DELAY_SECONDS = 0.002
LINK_SETUP_SECONDS = 0.5
# With churn, an instance stops every ``STOP_INTERVAL_SECONDS`` and restarts after
# ``DOWNTIME_SECONDS``.
STOP_INTERVAL_SECONDS = 3.0
DOWNTIME_SECONDS = 4.0
REQUEST_BYTES = len(
    encode_message(PermitRequest(1, "edge-domain-100", UPSTREAM, 3, 0, 1.0, 0.25))
)
GRANT_BYTES = len(encode_message(PermitGrant(1, 3, 1.0, 0.5, 1.0, 0.25)))


@dataclass(frozen=True, slots=True)
class Scenario:
    """The load and the fleet of a run.

    :param instances: number of instances
    :param limit: the upstream's limit, in requests per second
    :param concentrated: whether all callers use one instance
    :param churn: whether instances stop and restart in turn
    :param mixed: whether half of the instances have a build without rate limits
    """

    instances: int
    limit: float
    concentrated: bool = False
    churn: bool = False
    mixed: bool = False

    def assign_domains(self) -> dict[str, str]:
        """Return the domain of each instance, by instance name."""
        domains = max(3, -(-self.instances // MAX_INSTANCES_PER_DOMAIN))
        return {f"r{n}": f"d{n % domains}" for n in range(self.instances)}


@dataclass(frozen=True, slots=True)
class LimitRunResult:
    """Measurements of one run.

    :param peak_ratio: largest number of requests in any window, relative to the
        tolerated number
    :param utilization: used fraction of the limit
    :param bytes_per_second: control traffic of the busiest instance
    """

    peak_ratio: float
    utilization: float
    bytes_per_second: float


class SharingStrategy(ABC):
    """Base class of strategies for sharing a limit."""

    NAME: ClassVar[str]

    def __init__(self, run: LimitRun) -> None:
        self.run = run

    @abstractmethod
    def submit(self, instance: str) -> None:
        """Send a caller's request from an instance if the strategy allows it."""

    @abstractmethod
    def stop(self, instance: str) -> None:
        """Handle the stop of an instance."""

    @abstractmethod
    def start(self, instance: str) -> None:
        """Handle the start of an instance."""


class EvenShare(SharingStrategy):
    """Gives each instance an equal share of the limit, without coordination."""

    NAME = "even share"

    def __init__(self, run: LimitRun) -> None:
        super().__init__(run)
        self._next_send_at: dict[str, float] = {}

    def submit(self, instance: str) -> None:
        """Send the request if the instance's share allows it now."""
        interval = len(self.run.members) / self.run.scenario.limit
        if self.run.now >= self._next_send_at.get(instance, 0.0):
            self._next_send_at[instance] = self.run.now + interval
            self.run.send()

    def stop(self, instance: str) -> None:
        """Discard the instance's state."""
        self._next_send_at.pop(instance, None)

    def start(self, instance: str) -> None:
        """Start the instance without state."""
        self.stop(instance)


class FewSenders(SharingStrategy):
    """Lets only a few instances send, chosen by rendezvous hashing.

    Their number is the limit in requests per second, rounded down, at least one.
    """

    NAME = "few senders"

    def __init__(self, run: LimitRun) -> None:
        super().__init__(run)
        self._sent_at: dict[str, float] = {}

    def submit(self, instance: str) -> None:
        """Send the request if the instance is a sender and its interval has passed."""
        run = self.run
        senders = max(1, int(run.scenario.limit))
        chosen = choose_senders(UPSTREAM, "d0", run.members, senders)
        if instance not in chosen:
            return
        interval = len(chosen) / run.scenario.limit
        if run.now - self._sent_at.get(instance, -interval) >= interval:
            self._sent_at[instance] = run.now
            run.send()

    def stop(self, instance: str) -> None:
        """Discard the instance's state."""
        self._sent_at.pop(instance, None)

    def start(self, instance: str) -> None:
        """Start the instance without state."""
        self.stop(instance)


class PermitNode:
    """State of one instance under the permit strategy.

    :ivar waiting: arrival times of requests that wait for a permit
    :ivar is_requesting: whether a request for permits is in flight
    """

    def __init__(self, run: LimitRun, name: str) -> None:
        self.cache = PermitCache()
        self.issuer = PermitIssuer()
        self.waiting: list[float] = []
        self.is_requesting = False
        self.peers = LinkedPeers(lambda: run.now)
        self.selector = IssuerSelector(
            name, run.domain_of[name], lambda: run.members, self.peers
        )


class Permits(SharingStrategy):
    """Lets one instance issue permits; requests for permits take at most two hops."""

    NAME = "permits"

    def __init__(self, run: LimitRun) -> None:
        super().__init__(run)
        self._nodes: dict[str, PermitNode] = {}
        for name in run.members:
            self.start(name)

    def start(self, instance: str) -> None:
        """Start a new incarnation of an instance and link it within its domain."""
        self._nodes[instance] = PermitNode(self.run, instance)
        self.run.schedule(LINK_SETUP_SECONDS, lambda: self._link_domain(instance))

    def stop(self, instance: str) -> None:
        """Stop the instance and drop the links to it."""
        self._nodes.pop(instance, None)
        for node in self._nodes.values():
            node.peers.note_disconnected(instance)

    def submit(self, instance: str) -> None:
        """Send the request if a permit is cached or arrives in time."""
        node, now = self._nodes[instance], self.run.now
        node.cache.note_demand(now)
        if node.cache.take(now):
            self.run.send()
        elif node.is_requesting:
            node.waiting.append(now)
        elif now >= node.cache.next_request_at:
            node.waiting.append(now)
            node.is_requesting = True
            self._request_permits(instance, node, now)

    def _request_permits(
        self, instance: str, node: PermitNode, requested_at: float
    ) -> None:
        """Forward a request for permits to the issuer and schedule its response."""
        needed = node.cache.count_needed()
        current, hops = instance, 0
        while True:
            target = self._choose_next_hop(current)
            if target is None or target not in self._nodes or hops > 2:
                self._schedule_response(
                    node, requested_at, hops, 0, NO_ISSUER_RETRY_SECONDS
                )
                return
            if target == current:
                break
            self.run.count_exchange(current, target)
            current, hops = target, hops + 1
        limit = self.run.scenario.limit
        issued = self._nodes[current].issuer.issue(
            instance, needed, limit, self.run.now
        )
        self._schedule_response(node, requested_at, hops, issued.count, issued.pause)

    def _schedule_response(
        self,
        node: PermitNode,
        requested_at: float,
        hops: int,
        permits: int,
        pause: float,
    ) -> None:
        def take_permits() -> None:
            now = self.run.now
            node.cache.add(permits, requested_at + PERMIT_LIFETIME_SECONDS, pause, now)
            node.is_requesting = False
            waiting, node.waiting = node.waiting, []
            for arrived_at in waiting:
                if now - arrived_at <= PERMIT_WAIT_SECONDS and node.cache.take(now):
                    self.run.send()

        self.run.schedule(2 * hops * ONE_WAY_DELAY_SECONDS, take_permits)

    def _choose_next_hop(self, instance: str) -> str | None:
        node = self._nodes[instance]
        chosen = node.selector.choose(UPSTREAM, "d0")
        for peer in node.peers.list_requested():
            self.run.schedule(
                LINK_SETUP_SECONDS, partial(self._link_pair, instance, peer)
            )
        return chosen

    def _link_domain(self, instance: str) -> None:
        domains = self.run.domain_of
        for other in self._nodes:
            if other != instance and domains[other] == domains[instance]:
                self._link_pair(instance, other)

    def _link_pair(self, first: str, second: str) -> None:
        if first in self._nodes and second in self._nodes:
            self._nodes[first].peers.note_linked(second)
            self._nodes[second].peers.note_linked(first)


STRATEGIES: tuple[type[SharingStrategy], ...] = (EvenShare, FewSenders, Permits)


class LimitRun:
    """One run of one strategy.

    :ivar members: domain of each running instance whose build has rate limits
    """

    def __init__(
        self, scenario: Scenario, strategy: type[SharingStrategy], seed: int = 1
    ) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.domain_of = scenario.assign_domains()
        capable = list(self.domain_of)
        if scenario.mixed:
            capable = capable[::2]
        self.members: Mapping[str, str] = {
            name: self.domain_of[name] for name in capable
        }
        self._entry_instances = [capable[-1]] if scenario.concentrated else capable
        self._random = Random(seed)
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sent_times: list[float] = []
        self._bytes: Counter[str] = Counter()
        self._stop_order: deque[str] = deque(capable[:-1])
        self._strategy = strategy(self)

    def run(self) -> LimitRunResult:
        """Run the simulation and return its measurements."""
        self.schedule(MEASURE_START_SECONDS / 2, self._arrive)
        if self.scenario.churn:
            self.schedule(MEASURE_START_SECONDS, self._stop_next)
        while self._events:
            self.now, _, event = heappop(self._events)
            if self.now > END_SECONDS:
                break
            event()
        sent = [at for at in self._sent_times if at >= MEASURE_START_SECONDS]
        tolerated = (
            RATE_TOLERANCE * self.scenario.limit * WINDOW_SECONDS + REQUEST_TOLERANCE
        )
        max_bytes = max(self._bytes.values(), default=0)
        seconds = END_SECONDS - MEASURE_START_SECONDS
        return LimitRunResult(
            _count_peak(sent) / tolerated,
            len(sent) / (self.scenario.limit * seconds),
            max_bytes / seconds,
        )

    def schedule(self, seconds: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        heappush(self._events, (self.now + seconds, next(self._numbers), event))

    def send(self) -> None:
        """Record a request that is sent to the upstream now."""
        self._sent_times.append(self.now)

    def count_exchange(self, requester: str, responder: str) -> None:
        """Count the bytes of a permit request and its response at both instances."""
        if self.now >= MEASURE_START_SECONDS:
            self._bytes[requester] += REQUEST_BYTES + GRANT_BYTES
            self._bytes[responder] += REQUEST_BYTES + GRANT_BYTES

    def _arrive(self) -> None:
        demand = DEMAND_RATIO * self.scenario.limit
        self.schedule(self._random.expovariate(demand), self._arrive)
        instance = self._random.choice(self._entry_instances)
        if instance in self.members:
            self._strategy.submit(instance)

    def _stop_next(self) -> None:
        name = self._stop_order[0]
        self._stop_order.rotate(-1)
        self.schedule(STOP_INTERVAL_SECONDS, self._stop_next)
        if name not in self.members:
            return
        self.members = {
            member: domain for member, domain in self.members.items() if member != name
        }
        self._strategy.stop(name)
        self.schedule(DOWNTIME_SECONDS, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        self.members = {**self.members, name: self.domain_of[name]}
        self._strategy.start(name)


def _count_peak(times: list[float]) -> int:
    """Return the largest number of requests in any window."""
    window: deque[float] = deque()
    highest = 0
    for at in times:
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        highest = max(highest, len(window))
    return highest


def main() -> None:
    """Print a line of measurements for each scenario and strategy."""
    print("instances limit callers fleet: strategy peak/tolerated used bytes/s")
    fleets: tuple[dict[str, bool], ...] = ({}, {"churn": True}, {"mixed": True})
    for instances, limit, concentrated, fleet in product(
        INSTANCE_COUNTS, LIMITS, (False, True), fleets
    ):
        scenario = Scenario(instances, limit, concentrated, **fleet)
        for strategy in STRATEGIES:
            result = LimitRun(scenario, strategy).run()
            print(
                f"{instances:4d} {limit:5.1f} {'one' if concentrated else 'all':4s}"
                f"{''.join(fleet) or 'steady':7s} {strategy.NAME:12s}"
                f"{result.peak_ratio:6.2f}{result.utilization:6.2f}"
                f"{result.bytes_per_second:8.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
