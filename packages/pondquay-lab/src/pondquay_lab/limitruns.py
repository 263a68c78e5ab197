"""Ways to share what an upstream takes from all instances, in virtual time.

One upstream names a limit and callers want four times as much, all of them at one
instance or evenly at all. Instances of several domains stay, start and stop in turn, or
half of them are of a build that knows no limit and are left out of the count. Told are
the most requests in 4 s against what is borne, the part of the limit that was used, and
the bytes a second that it took at the busiest instance.

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
SIZES = (8, 30, 100, 195)
LIMITS = (0.5, 5.0, 50.0)
# Requests that callers want to send there for each that the limit allows.
WANTED = 4.0
MAX_IN_DOMAIN = 40
# From when on the limit binds, and until when a run goes, in seconds.
BINDING_AT = 6.0
ENDS_AT = 36.0
WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
REQUEST_TOLERANCE = 5
# One way of a message, and until a link that is wished for stands, in seconds.
ONE_WAY_DELAY_SECONDS = 0.002
LINK_SECONDS = 0.5
# Between two instances that stop, each for some seconds.
CHURN_SECONDS = 3.0
AWAY_SECONDS = 4.0
REQUEST_BYTES = len(
    encode_message(PermitRequest(1, "edge-domain-100", UPSTREAM, 3, 0, 1.0, 0.25))
)
GRANT_BYTES = len(encode_message(PermitGrant(1, 3, 1.0, 0.5, 1.0, 0.25)))


@dataclass(frozen=True, slots=True)
class Scenario:
    """One load on one fleet.

    :param busy: whether all callers are at one instance
    :param churn: whether instances stop and start again in turn
    :param mixed: whether half of the instances know no limit
    """

    instances: int
    limit: float
    busy: bool = False
    churn: bool = False
    mixed: bool = False

    def list_instances(self) -> dict[str, str]:
        """Return the domain of each instance."""
        domains = max(3, -(-self.instances // MAX_IN_DOMAIN))
        return {f"r{n}": f"d{n % domains}" for n in range(self.instances)}


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one run came to.

    :param most: requests in the fullest window, over what is borne
    :param used: the part of the limit that was used
    :param bytes_per_second: at the instance with most
    """

    most: float
    used: float
    bytes_per_second: float


class Way(ABC):
    """A way to share a limit."""

    NAME: ClassVar[str]

    def __init__(self, run: LimitRun) -> None:
        self.run = run

    @abstractmethod
    def ask(self, instance: str) -> None:
        """Have a caller's request at an instance sent to the upstream, or not."""

    @abstractmethod
    def stop(self, instance: str) -> None:
        """Learn that an instance stops."""

    @abstractmethod
    def start(self, instance: str) -> None:
        """Learn that an instance starts."""


class EvenShare(Way):
    """Each instance keeps to an equal part by itself."""

    NAME = "even share"

    def __init__(self, run: LimitRun) -> None:
        super().__init__(run)
        self._free_at: dict[str, float] = {}

    def ask(self, instance: str) -> None:
        """Send it if the instance's part allows one now."""
        interval = len(self.run.members) / self.run.scenario.limit
        if self.run.now >= self._free_at.get(instance, 0.0):
            self._free_at[instance] = self.run.now + interval
            self.run.send()

    def stop(self, instance: str) -> None:
        """Forget what it has sent."""
        self._free_at.pop(instance, None)

    def start(self, instance: str) -> None:
        """Begin with nothing sent."""
        self.stop(instance)


class FewSenders(Way):
    """As many instances send as the limit is high, chosen by rendezvous."""

    NAME = "few senders"

    def __init__(self, run: LimitRun) -> None:
        super().__init__(run)
        self._sent_at: dict[str, float] = {}

    def ask(self, instance: str) -> None:
        """Send it if the instance is a sender and has paused."""
        run = self.run
        senders = max(1, int(run.scenario.limit))
        chosen = choose_senders(UPSTREAM, "d0", run.members, senders)
        if instance not in chosen:
            return
        pause = len(chosen) / run.scenario.limit
        if run.now - self._sent_at.get(instance, -pause) >= pause:
            self._sent_at[instance] = run.now
            run.send()

    def stop(self, instance: str) -> None:
        """Forget what it has sent."""
        self._sent_at.pop(instance, None)

    def start(self, instance: str) -> None:
        """Begin with nothing sent."""
        self.stop(instance)


class PermitNode:
    """What one instance has and knows where permits are issued."""

    def __init__(self, run: LimitRun, name: str) -> None:
        self.cache = PermitCache()
        self.issuer = PermitIssuer()
        self.waiting: list[float] = []
        self.is_asking = False
        self.peers = LinkedPeers(lambda: run.now)
        self.choice = IssuerSelector(
            name, run.domain_of[name], lambda: run.members, self.peers
        )


class Permits(Way):
    """One instance issues permits, asked through those that speak for domains."""

    NAME = "permits"

    def __init__(self, run: LimitRun) -> None:
        super().__init__(run)
        self._nodes: dict[str, PermitNode] = {}
        for name in run.members:
            self.start(name)

    def start(self, instance: str) -> None:
        """Begin a life of an instance, and link it to those of its domain."""
        self._nodes[instance] = PermitNode(self.run, instance)
        self.run.later(LINK_SECONDS, lambda: self._link(instance))

    def stop(self, instance: str) -> None:
        """End it, and the links to it."""
        self._nodes.pop(instance, None)
        for node in self._nodes.values():
            node.peers.note_disconnected(instance)

    def ask(self, instance: str) -> None:
        """Send it by a permit that is there or comes in time."""
        node, now = self._nodes[instance], self.run.now
        node.cache.note_demand(now)
        if node.cache.take(now):
            self.run.send()
        elif node.is_asking:
            node.waiting.append(now)
        elif now >= node.cache.next_request_at:
            node.waiting.append(now)
            node.is_asking = True
            self._obtain(instance, node, now)

    def _obtain(self, instance: str, node: PermitNode, requested_at: float) -> None:
        """Ask along the way to the issuer, and take what comes back."""
        wanted = node.cache.count_needed()
        here, ways = instance, 0
        while True:
            there = self._choose(here)
            if there is None or there not in self._nodes or ways > 2:
                self._respond(node, requested_at, ways, 0, NO_ISSUER_RETRY_SECONDS)
                return
            if there == here:
                break
            self.run.count_bytes(here, there)
            here, ways = there, ways + 1
        limit = self.run.scenario.limit
        issued = self._nodes[here].issuer.issue(instance, wanted, limit, self.run.now)
        self._respond(node, requested_at, ways, issued.count, issued.pause)

    def _respond(
        self,
        node: PermitNode,
        requested_at: float,
        ways: int,
        permits: int,
        pause: float,
    ) -> None:
        def take() -> None:
            now = self.run.now
            node.cache.add(permits, requested_at + PERMIT_LIFETIME_SECONDS, pause, now)
            node.is_asking = False
            waiting, node.waiting = node.waiting, []
            for since in waiting:
                if now - since <= PERMIT_WAIT_SECONDS and node.cache.take(now):
                    self.run.send()

        self.run.later(2 * ways * ONE_WAY_DELAY_SECONDS, take)

    def _choose(self, instance: str) -> str | None:
        node = self._nodes[instance]
        chosen = node.choice.choose(UPSTREAM, "d0")
        for wished in node.peers.list_requested():
            self.run.later(LINK_SECONDS, partial(self._link_pair, instance, wished))
        return chosen

    def _link(self, instance: str) -> None:
        domains = self.run.domain_of
        for other in self._nodes:
            if other != instance and domains[other] == domains[instance]:
                self._link_pair(instance, other)

    def _link_pair(self, one: str, other: str) -> None:
        if one in self._nodes and other in self._nodes:
            self._nodes[one].peers.note_linked(other)
            self._nodes[other].peers.note_linked(one)


WAYS: tuple[type[Way], ...] = (EvenShare, FewSenders, Permits)


class LimitRun:
    """One run of one way.

    :ivar members: the domains of the instances that know the limit and are listed
    """

    def __init__(self, scenario: Scenario, way: type[Way], seed: int = 1) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.domain_of = scenario.list_instances()
        known = list(self.domain_of)
        if scenario.mixed:
            known = known[::2]
        self.members: Mapping[str, str] = {one: self.domain_of[one] for one in known}
        self._asked = [known[-1]] if scenario.busy else known
        self._random = Random(seed)
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sent: list[float] = []
        self._bytes: Counter[str] = Counter()
        self._away: deque[str] = deque(known[:-1])
        self._way = way(self)

    def run(self) -> Outcome:
        """Play it to its end."""
        self.later(BINDING_AT / 2, self._arrive)
        if self.scenario.churn:
            self.later(BINDING_AT, self._stop_one)
        while self._events:
            self.now, _, event = heappop(self._events)
            if self.now > ENDS_AT:
                break
            event()
        sent = [at for at in self._sent if at >= BINDING_AT]
        borne = (
            RATE_TOLERANCE * self.scenario.limit * WINDOW_SECONDS + REQUEST_TOLERANCE
        )
        spent = max(self._bytes.values(), default=0)
        seconds = ENDS_AT - BINDING_AT
        return Outcome(
            _count_most(sent) / borne,
            len(sent) / (self.scenario.limit * seconds),
            spent / seconds,
        )

    def later(self, seconds: float, event: Callable[[], None]) -> None:
        """Have something happen after a while."""
        heappush(self._events, (self.now + seconds, next(self._numbers), event))

    def send(self) -> None:
        """Send a request to the upstream."""
        self._sent.append(self.now)

    def count_bytes(self, asking: str, asked: str) -> None:
        """Count a request for permits and its answer at both ends."""
        if self.now >= BINDING_AT:
            self._bytes[asking] += REQUEST_BYTES + GRANT_BYTES
            self._bytes[asked] += REQUEST_BYTES + GRANT_BYTES

    def _arrive(self) -> None:
        wanted = WANTED * self.scenario.limit
        self.later(self._random.expovariate(wanted), self._arrive)
        asked = self._random.choice(self._asked)
        if asked in self.members:
            self._way.ask(asked)

    def _stop_one(self) -> None:
        name = self._away[0]
        self._away.rotate(-1)
        self.later(CHURN_SECONDS, self._stop_one)
        if name not in self.members:
            return
        self.members = {
            one: domain for one, domain in self.members.items() if one != name
        }
        self._way.stop(name)
        self.later(AWAY_SECONDS, lambda: self._start_again(name))

    def _start_again(self, name: str) -> None:
        self.members = {**self.members, name: self.domain_of[name]}
        self._way.start(name)


def _count_most(times: list[float]) -> int:
    """Return the most requests in any window."""
    window: deque[float] = deque()
    most = 0
    for at in times:
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        most = max(most, len(window))
    return most


def main() -> None:
    """Print a line for each scenario and way."""
    print("instances limit callers fleet: way most/borne used bytes/s")
    fleets: tuple[dict[str, bool], ...] = ({}, {"churn": True}, {"mixed": True})
    for size, limit, busy, fleet in product(SIZES, LIMITS, (False, True), fleets):
        scenario = Scenario(size, limit, busy, **fleet)
        for way in WAYS:
            found = LimitRun(scenario, way).run()
            print(
                f"{size:4d} {limit:5.1f} {'one' if busy else 'all':4s}"
                f"{''.join(fleet) or 'steady':7s} {way.NAME:12s}"
                f"{found.most:6.2f}{found.used:6.2f}{found.bytes_per_second:8.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
