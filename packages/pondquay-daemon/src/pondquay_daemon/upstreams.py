"""The upstream task: which upstreams there are, their load, and who gets a request."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondquay.configuration.entities import Loan, Model, Priority
from pondquay.membership.drains import read_drains
from pondquay.routing.admission import AdmissionQueue, QueuedRequest
from pondquay.routing.policies import ROUTING_POLICIES, RequestProfile
from pondquay.routing.upstreams import ENGINE, LoadReport, Upstream, UpstreamState
from pondquay.tables import Unreachable
from pondquay_daemon.logs import log_event
from pondquay_daemon.tasks import Task, spawn

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay.names import RequestName
    from pondquay_daemon.configuration import ConfigurationTask
    from pondquay_daemon.engines import Engines
    from pondquay_daemon.platform import ListedInstance, Platform

LIST_SECONDS = 1.0
LOAD_SECONDS = 0.5
LATE_SECONDS = 0.1
STALE_SECONDS = 5.0
TOTAL_SHARE_PERCENT = 100
MAX_PREFIXES = 2000


@dataclass(frozen=True, slots=True)
class Wish:
    """What a request needs of an upstream.

    :param kind: ``engine`` or ``service``
    :param target: the model's or the service's name
    :param excluded: upstreams that already failed this request
    """

    request: RequestName
    kind: str
    target: str
    partner: str
    work: RequestProfile
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream with a place taken in it.

    :param version: the version of the model to ask for
    """

    upstream: Upstream
    version: str
    tokens: int


@dataclass(slots=True)
class _Entry:
    """A wish that waits, and where its answer goes."""

    wish: Wish
    placed: Deferred[Placement | None] = field(default_factory=Deferred)


class Upstreams(Task):
    """Owns what is known of all upstreams and the queue in front of them.

    :param policy: name of the routing policy
    """

    def __init__(
        self,
        reactor: Any,
        platform: Platform,
        engines: Engines,
        configuration: ConfigurationTask,
        domain: str,
        policy: str,
    ) -> None:
        super().__init__(reactor)
        self._platform = platform
        self._engines = engines
        self._configuration = configuration
        self._domain = domain
        self._policy = ROUTING_POLICIES.create(policy)
        self._random = Random()
        self._queue: AdmissionQueue[_Entry] = AdmissionQueue()
        self.known: dict[str, Upstream] = {}
        self.listed: list[ListedInstance] = []
        self._leaving: set[str] = set()
        self._asking: set[str] = set()

    def start(self) -> None:
        """Follow the platform's list and the upstreams' reports from now on."""
        self.repeat(LIST_SECONDS, self._follow_list)
        self.repeat(LOAD_SECONDS, self._ask_loads)
        self.repeat(LATE_SECONDS, self._drop_expired)

    # Who there is

    async def _follow_list(self) -> None:
        listed = await self._platform.list_instances()
        if listed is not None:
            self.listed = listed
            self._take_list([one for one in listed if one.role != "entry"])
        drained = await self._platform.run(read_drains())
        if not isinstance(drained, Unreachable):
            self.mark_leaving(drained)

    def _take_list(self, listed: list[ListedInstance]) -> None:
        names = {one.name for one in listed}
        for one in listed:
            known = self.known.get(one.name)
            if known is None or known.url != one.url:
                self.known[one.name] = Upstream(
                    one.name, one.role, one.domain, one.url, one.partner
                )
            if one.state != UpstreamState.LIVE.value:
                self.mark_leaving([one.name])
        for name in [one for one in self.known if one not in names]:
            if self.known[name].running == 0:
                del self.known[name]
                self._leaving.discard(name)
            else:
                self.mark_leaving([name])

    def mark_leaving(self, names: Iterable[str]) -> None:
        """Give upstreams no new work from now on, whoever said that they leave."""
        for name in names:
            self._leaving.add(name)
            upstream = self.known.get(name)
            if upstream is not None and upstream.state is UpstreamState.LIVE:
                upstream.state = UpstreamState.LEAVING
                log_event("upstream-leaving", upstream=name)

    def leaving(self) -> tuple[str, ...]:
        """Return the upstreams known to be leaving."""
        return tuple(sorted(self._leaving & set(self.known)))

    # What they report

    async def _ask_loads(self) -> None:
        for upstream in list(self.known.values()):
            if upstream.name not in self._asking:
                self._asking.add(upstream.name)
                spawn(self._ask_load(upstream), "Upstreams")

    async def _ask_load(self, upstream: Upstream) -> None:
        try:
            content = await self._engines.read_load(upstream.url)
        finally:
            self._asking.discard(upstream.name)
        if content is None:
            upstream.circuit.fail(self.clock.seconds())
            return
        upstream.apply_report(self._read_report(content))
        if content.get("leaving"):
            self.mark_leaving([upstream.name])
        for prefix in content.get("cached", []):
            upstream.prefixes[str(prefix)] = 1
        while len(upstream.prefixes) > MAX_PREFIXES:
            upstream.prefixes.pop(next(iter(upstream.prefixes)))
        self._place_waiting()

    def _read_report(self, content: dict[str, Any]) -> LoadReport:
        models = tuple(
            (str(one["model"]), str(one["version"]))
            for one in content.get("models", [])
        )
        return LoadReport(
            tokens=int(content.get("tokens", 0)),
            slots=int(content.get("slots", 1)),
            received=self.clock.seconds(),
            streams=int(content.get("streams", 0)),
            models=models,
            boot=str(content.get("boot", "")),
        )

    # Who gets a request

    async def place(
        self, wish: Wish, priority: Priority, seconds: float
    ) -> Placement | None:
        """Find a place for a request, waiting for one if need be.

        :param seconds: how long it may wait
        :returns: ``None`` if none came free in time or too many wait already
        """
        placement = self._try_place(wish)
        if placement is not None:
            return placement
        entry = _Entry(wish)
        deadline = self.clock.seconds() + seconds
        if not self._queue.push(QueuedRequest(entry, priority, deadline)):
            return None
        return await entry.placed

    def release(self, placement: Placement) -> None:
        """Give a place back."""
        placement.upstream.end(placement.tokens)
        self._place_waiting()

    async def _drop_expired(self) -> None:
        for entry in self._queue.drop_expired(self.clock.seconds()):
            entry.placed.callback(None)

    def _place_waiting(self) -> None:
        placed: list[tuple[_Entry, Placement]] = []

        def start(entry: _Entry) -> bool:
            placement = self._try_place(entry.wish)
            if placement is None:
                return False
            placed.append((entry, placement))
            return True

        self._queue.pop_startable(start)
        for entry, placement in placed:
            entry.placed.callback(placement)

    def _try_place(self, wish: Wish) -> Placement | None:
        version = self._choose_version(wish)
        if version is None:
            return None
        candidates = [
            one
            for one in self.known.values()
            if self._may_serve(one, wish, version) and one.has_capacity(wish.work.rank)
        ]
        fresh = [one for one in candidates if one.name not in wish.excluded]
        local = [one for one in fresh if one.domain == self._domain]
        chosen_from = self._prefer_local(local, fresh) or candidates
        if not chosen_from:
            return None
        upstream = self._policy.choose(chosen_from, wish.work, self._random)
        upstream.begin(wish.work.tokens)
        return Placement(upstream, version, wish.work.tokens)

    def _prefer_local(
        self, local: list[Upstream], fresh: list[Upstream]
    ) -> list[Upstream]:
        """Stay in the own domain while it has a free place."""
        free = [one for one in local if one.running < one.slots]
        return free or fresh

    def _choose_version(self, wish: Wish) -> str | None:
        """Return the version that the request's name falls to, by the shares."""
        if wish.kind != ENGINE:
            return ""
        model = self._configuration.document.find(Model, wish.target)
        if model is None:
            return None
        digest = blake2b(str(wish.request).encode(), digest_size=4).digest()
        point = int.from_bytes(digest, "big") % TOTAL_SHARE_PERCENT
        for version, share in sorted(model.versions.items()):
            if point < share:
                return version
            point -= share
        return None

    def _may_serve(self, upstream: Upstream, wish: Wish, version: str) -> bool:
        if upstream.kind != wish.kind or upstream.state is not UpstreamState.LIVE:
            return False
        now = self.clock.seconds()
        report = upstream.report
        if report is None or now - report.received > STALE_SECONDS:
            return False
        if now < upstream.backoff_until or not upstream.circuit.allows(now):
            return False
        if not upstream.serves(wish.target, version):
            return False
        return self._may_use(upstream, wish)

    def _may_use(self, upstream: Upstream, wish: Wish) -> bool:
        """Tell whether a partner owns a replica or was lent it."""
        if upstream.partner in ("", wish.partner) or wish.kind != ENGINE:
            return True
        lent = sum(
            loan.replicas
            for loan in self._configuration.document.list(Loan)
            if loan.model == wish.target
            and loan.partner == upstream.partner
            and loan.borrower == wish.partner
        )
        owned = sorted(
            one.name
            for one in self.known.values()
            if one.kind == ENGINE and one.partner == upstream.partner
        )
        return upstream.name in owned[len(owned) - lent :] if lent else False

    def is_served(self, wish: Wish) -> bool:
        """Tell whether any upstream could serve a request, now or when it is free."""
        version = self._choose_version(wish)
        return version is not None and any(
            self._may_serve(one, wish, version) for one in self.known.values()
        )

    def waiting(self) -> int:
        """Return how many requests wait for a place."""
        return len(self._queue)
