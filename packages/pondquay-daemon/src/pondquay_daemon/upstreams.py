"""The upstream task: discovers upstreams, tracks their load, and places requests."""

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

LIST_INTERVAL_SECONDS = 1.0
LOAD_INTERVAL_SECONDS = 0.5
EXPIRY_CHECK_INTERVAL_SECONDS = 0.1
MAX_REPORT_AGE_SECONDS = 5.0
TOTAL_SHARE_PERCENT = 100
MAX_PREFIXES = 2000


@dataclass(frozen=True, slots=True)
class UpstreamRequirements:
    """Requirements of a request for its upstream.

    :param kind: ``engine`` or ``service``
    :param target: name of the model or the service
    :param partner: partner of the request's workspace
    :param failed: names of upstreams that failed to serve the request; they are chosen
        only if no other upstream can serve it
    """

    request: RequestName
    kind: str
    target: str
    partner: str
    work: RequestProfile
    failed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Placement:
    """An upstream with a slot taken for a request.

    :param version: version of the model to run, empty for a service
    """

    upstream: Upstream
    version: str
    tokens: int


@dataclass(slots=True)
class _PendingPlacement:
    """A queued request; ``placed`` fires with its placement, ``None`` on expiry."""

    requirements: UpstreamRequirements
    placed: Deferred[Placement | None] = field(default_factory=Deferred)


class Upstreams(Task):
    """Owns the state of all upstreams and the queue of requests for them.

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
        self._queue: AdmissionQueue[_PendingPlacement] = AdmissionQueue()
        self.known: dict[str, Upstream] = {}
        self.listed: list[ListedInstance] = []
        self._leaving: set[str] = set()
        self._requesting: set[str] = set()

    def start(self) -> None:
        """Start to poll the platform's list and the upstreams' load reports."""
        self.repeat(LIST_INTERVAL_SECONDS, self._update_list)
        self.repeat(LOAD_INTERVAL_SECONDS, self._request_loads)
        self.repeat(EXPIRY_CHECK_INTERVAL_SECONDS, self._drop_expired)

    # Discovery

    async def _update_list(self) -> None:
        listed = await self._platform.list_instances()
        if listed is not None:
            self.listed = listed
            self._apply_list([entry for entry in listed if entry.role != "entry"])
        drained = await self._platform.run(read_drains())
        if not isinstance(drained, Unreachable):
            self.mark_leaving(drained)

    def _apply_list(self, listed: list[ListedInstance]) -> None:
        listed_names = {entry.name for entry in listed}
        for entry in listed:
            known = self.known.get(entry.name)
            if known is None or known.url != entry.url:
                self.known[entry.name] = Upstream(
                    entry.name, entry.role, entry.domain, entry.url, entry.partner
                )
            if entry.state != UpstreamState.LIVE.value:
                self.mark_leaving([entry.name])
        for name in [key for key in self.known if key not in listed_names]:
            if self.known[name].running == 0:
                del self.known[name]
                self._leaving.discard(name)
            else:
                self.mark_leaving([name])

    def mark_leaving(self, names: Iterable[str]) -> None:
        """Mark upstreams as leaving, so that they receive no new requests."""
        for name in names:
            self._leaving.add(name)
            upstream = self.known.get(name)
            if upstream is not None and upstream.state is UpstreamState.LIVE:
                upstream.state = UpstreamState.LEAVING
                log_event("upstream-leaving", upstream=name)

    def list_leaving(self) -> tuple[str, ...]:
        """Return the names of the known upstreams that are leaving."""
        return tuple(sorted(self._leaving & set(self.known)))

    # Load reports

    async def _request_loads(self) -> None:
        for upstream in list(self.known.values()):
            if upstream.name not in self._requesting:
                self._requesting.add(upstream.name)
                spawn(self._request_load(upstream), "Upstreams")

    async def _request_load(self, upstream: Upstream) -> None:
        try:
            content = await self._engines.read_load(upstream.url)
        finally:
            self._requesting.discard(upstream.name)
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
            (str(model["model"]), str(model["version"]))
            for model in content.get("models", [])
        )
        return LoadReport(
            tokens=int(content.get("tokens", 0)),
            slots=int(content.get("slots", 1)),
            received=self.clock.seconds(),
            streams=int(content.get("streams", 0)),
            models=models,
            boot=str(content.get("boot", "")),
        )

    # Placement

    async def place(
        self, requirements: UpstreamRequirements, priority: Priority, seconds: float
    ) -> Placement | None:
        """Take an upstream's slot for a request, and wait for one if necessary.

        :param seconds: maximum wait
        :returns: ``None`` if no slot becomes free in time or the queue is full
        """
        placement = self._try_place(requirements)
        if placement is not None:
            return placement
        entry = _PendingPlacement(requirements)
        deadline = self.clock.seconds() + seconds
        if not self._queue.push(QueuedRequest(entry, priority, deadline)):
            return None
        return await entry.placed

    def release(self, placement: Placement) -> None:
        """Release the slot of a placement."""
        placement.upstream.end(placement.tokens)
        self._place_waiting()

    async def _drop_expired(self) -> None:
        for entry in self._queue.drop_expired(self.clock.seconds()):
            entry.placed.callback(None)

    def _place_waiting(self) -> None:
        placed: list[tuple[_PendingPlacement, Placement]] = []

        def start(entry: _PendingPlacement) -> bool:
            placement = self._try_place(entry.requirements)
            if placement is None:
                return False
            placed.append((entry, placement))
            return True

        self._queue.pop_startable(start)
        for entry, placement in placed:
            entry.placed.callback(placement)

    def _try_place(self, requirements: UpstreamRequirements) -> Placement | None:
        version = self._choose_version(requirements)
        if version is None:
            return None
        candidates = [
            candidate
            for candidate in self.known.values()
            if self._may_serve(candidate, requirements, version)
            and candidate.has_capacity(requirements.work.rank)
        ]
        untried = [
            candidate
            for candidate in candidates
            if candidate.name not in requirements.failed
        ]
        local = [candidate for candidate in untried if candidate.domain == self._domain]
        eligible = self._prefer_local(local, untried) or candidates
        if not eligible:
            return None
        upstream = self._policy.choose(eligible, requirements.work, self._random)
        upstream.begin(requirements.work.tokens)
        return Placement(upstream, version, requirements.work.tokens)

    def _prefer_local(
        self, local: list[Upstream], untried: list[Upstream]
    ) -> list[Upstream]:
        """Return the local upstreams with a free slot.

        If there is none, all untried upstreams are returned.
        """
        free = [upstream for upstream in local if upstream.running < upstream.slots]
        return free or untried

    def _choose_version(self, requirements: UpstreamRequirements) -> str | None:
        """Return the model version for a request.

        A hash of the request's name selects the version in proportion to its share.

        :returns: an empty string for a service, ``None`` if the model is unknown
        """
        if requirements.kind != ENGINE:
            return ""
        model = self._configuration.document.find(Model, requirements.target)
        if model is None:
            return None
        digest = blake2b(str(requirements.request).encode(), digest_size=4).digest()
        point = int.from_bytes(digest, "big") % TOTAL_SHARE_PERCENT
        for version, share in sorted(model.versions.items()):
            if point < share:
                return version
            point -= share
        return None

    def _may_serve(
        self, upstream: Upstream, requirements: UpstreamRequirements, version: str
    ) -> bool:
        if (
            upstream.kind != requirements.kind
            or upstream.state is not UpstreamState.LIVE
        ):
            return False
        now = self.clock.seconds()
        report = upstream.report
        if report is None or now - report.received > MAX_REPORT_AGE_SECONDS:
            return False
        if now < upstream.backoff_until or not upstream.circuit.allows(now):
            return False
        if not upstream.serves(requirements.target, version):
            return False
        return self._may_use(upstream, requirements)

    def _may_use(self, upstream: Upstream, requirements: UpstreamRequirements) -> bool:
        """Return whether a request's partner may use an upstream.

        Services and upstreams without a partner are open to all partners; engines of a
        partner are open to that partner, and the lent number of them to a borrower.
        """
        if (
            upstream.partner in ("", requirements.partner)
            or requirements.kind != ENGINE
        ):
            return True
        lent = sum(
            loan.replicas
            for loan in self._configuration.document.list(Loan)
            if loan.model == requirements.target
            and loan.partner == upstream.partner
            and loan.borrower == requirements.partner
        )
        owned = sorted(
            replica.name
            for replica in self.known.values()
            if replica.kind == ENGINE and replica.partner == upstream.partner
        )
        return upstream.name in owned[len(owned) - lent :] if lent else False

    def is_served(self, requirements: UpstreamRequirements) -> bool:
        """Return whether any upstream can serve a request, disregarding its slots."""
        version = self._choose_version(requirements)
        return version is not None and any(
            self._may_serve(upstream, requirements, version)
            for upstream in self.known.values()
        )

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)
