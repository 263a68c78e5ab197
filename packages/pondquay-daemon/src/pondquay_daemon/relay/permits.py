"""Permits to send to upstreams that take few requests from all instances together."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay.routing.ratelimits import PERMIT_LIFETIME_SECONDS, RateLimit
from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.peermessages import MAX_PERMITS, PermitGrant
from pondquay_daemon.relay.permitlinks import PermitListener
from pondquay_daemon.tasks import spawn, wait_at_most

if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.issuers import IssuerSelector
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PermitRequest
    from pondquay_daemon.relay.permitlinks import PermitLinks

# For which a request waits for a permit before it goes elsewhere, in seconds: some ways
# between failure domains.
PERMIT_WAIT_SECONDS = 0.05
# After which an instance asks again that had nobody to ask, in seconds.
NO_ISSUER_RETRY_SECONDS = 0.25
# Instances that pass a request on: the one that speaks for a domain.
MAX_HOPS = 1
# Where a limit is known from, for the logs.
FROM_RESPONSE = "answer"
FROM_PEER = "peer"


@dataclass(frozen=True, slots=True)
class Refill:
    """Permits that are being asked for.

    :param done: fires once they are in stock, or there are none
    :param overdue_at: until when requests wait for it, in seconds
    """

    done: Deferred[None]
    overdue_at: float


class PermitBroker(PermitListener):
    """Gets permits for the requests of one instance, and issues or passes on others'.

    :param instance: its name
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        directory: UpstreamDirectory,
        choice: IssuerSelector,
        links: PermitLinks,
        metrics: RelayMetrics,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._directory = directory
        self._choice = choice
        self._links = links
        self._metrics = metrics
        self._refills: dict[str, Refill] = {}
        links.connect(self)

    def can_supply(self, upstream: KnownUpstream) -> bool:
        """Tell whether a request may be sent to an upstream, or it is worth asking."""
        if not upstream.is_limited():
            return True
        return upstream.permits.can_supply(self._clock.seconds())

    async def take(self, upstream: KnownUpstream, until: float) -> bool:
        """Use a permit for one request; tell whether there was one, or none is needed.

        It waits for the time of a message and its answer at most: other upstreams may
        serve the request, and where there are none its caller is told to come again.

        :param until: when the request is to be sent or refused, in seconds
        """
        if not upstream.is_limited():
            return True
        now = self._clock.seconds()
        cache = upstream.permits
        cache.note_demand(now)
        if cache.take(now):
            return True
        if now < cache.next_request_at:
            return False
        refill = self._refills.get(upstream.name)
        if refill is None:
            refill = self._refills[upstream.name] = Refill(
                Deferred(), now + PERMIT_WAIT_SECONDS
            )
            spawn(self._refill(upstream, refill), "PermitDesk")
        seconds = min(refill.overdue_at, until) - now
        if seconds > 0:
            await wait_at_most(refill.done, seconds, self._clock, None)
        return not upstream.is_limited() or cache.take(self._clock.seconds())

    def plan_retry(self, upstreams: Iterable[KnownUpstream]) -> float | None:
        """Return when a caller that is refused should come again, in seconds.

        :returns: ``None`` if none of them is limited
        """
        caches = [one.permits for one in upstreams if one.is_limited()]
        if not caches:
            return None
        first = min(caches, key=lambda one: one.next_request_at)
        return first.plan_retry(self._clock.seconds())

    def list_limited(self) -> list[KnownUpstream]:
        """Return the upstreams that name a limit."""
        return self._directory.list_limited()

    def note_response_limit(
        self,
        upstream: KnownUpstream,
        rate: float | None,
        requested_at: float,
        delivered_at: float,
    ) -> None:
        """Take in what an answer names, and tell peers of another limit than before.

        :param rate: requests a second, ``None`` if it names no limit
        :param requested_at: when the request was placed, in seconds
        :param delivered_at: by when it had reached the upstream, in seconds
        """
        before = upstream.limit.rate
        limit = RateLimit(rate, self._clock.seconds())
        if self._directory.note_limit(upstream, limit, requested_at, delivered_at):
            _log_limit(upstream, before, FROM_RESPONSE)
            self._links.announce(upstream)

    def receive(self, name: str, rate: float | None, age: float) -> None:
        """Take in what a peer knows of an upstream's limit."""
        upstream = self._directory.find(name)
        if upstream is not None:
            self._receive(upstream, rate, age)

    def serve(self, link: PeerLink, request: PermitRequest) -> None:
        """Answer a peer's request, by own permits or by those of the issuer."""
        upstream = self._directory.find(request.upstream)
        if upstream is None:
            link.send(_grant_nothing(request.number))
            return
        self._receive(upstream, request.rate, request.age)
        spawn(self._serve(link, request, upstream), "PermitDesk")

    async def _serve(
        self, link: PeerLink, request: PermitRequest, upstream: KnownUpstream
    ) -> None:
        grant = await self._obtain(request.asker, upstream, request.count, request.hops)
        limit = upstream.limit
        is_known = isfinite(limit.reported_at)
        link.send(
            PermitGrant(
                request.number,
                grant.count,
                grant.seconds,
                grant.pause,
                limit.rate,
                limit.age(self._clock.seconds()) if is_known else None,
            )
        )

    async def _refill(self, upstream: KnownUpstream, refill: Refill) -> None:
        cache = upstream.permits
        requested_at = self._clock.seconds()
        wanted = min(MAX_PERMITS, cache.count_needed())
        try:
            grant = await self._obtain(self._instance, upstream, wanted, 0)
            now = self._clock.seconds()
            cache.add(grant.count, requested_at + grant.seconds, grant.pause, now)
            self._metrics.permits.labels("granted").inc(grant.count)
            if not grant.count:
                self._metrics.permits.labels("refused").inc()
        finally:
            del self._refills[upstream.name]
            refill.done.callback(None)

    async def _obtain(
        self, requester: str, upstream: KnownUpstream, wanted: int, hops: int
    ) -> PermitGrant:
        """Return permits for an instance, issued here or by the one that does."""
        rate = upstream.limit.rate
        if rate is None:
            return PermitGrant(0, wanted, PERMIT_LIFETIME_SECONDS, 0.0, None, None)
        source = self._choose_source(upstream)
        if source == self._instance:
            now = self._clock.seconds()
            issued = upstream.issuer.issue(requester, wanted, rate, now)
            self._metrics.permits.labels("issued").inc(issued.count)
            return PermitGrant(
                0, issued.count, PERMIT_LIFETIME_SECONDS, issued.pause, rate, None
            )
        if source is None or hops > MAX_HOPS:
            return _grant_nothing(0)
        grant = await self._links.ask(source, requester, upstream, wanted, hops + 1)
        if grant is None:
            return _grant_nothing(0)
        if grant.age is not None:
            self._receive(upstream, grant.rate, grant.age)
        return grant

    def _choose_source(self, upstream: KnownUpstream) -> str | None:
        """Return whom to ask for an upstream's permits, and log it where it changes."""
        record, cache = upstream.record, upstream.permits
        source = self._choice.choose(record.name, record.domain)
        if source != cache.source:
            log_event("permit-source", upstream=upstream.name, asks=source or "nobody")
            cache.source = source
        return source

    def _receive(self, upstream: KnownUpstream, rate: float | None, age: float) -> None:
        before = upstream.limit.rate
        if upstream.note_limit(RateLimit(rate, self._clock.seconds() - age)):
            _log_limit(upstream, before, FROM_PEER)


def _grant_nothing(number: int) -> PermitGrant:
    return PermitGrant(number, 0, 0.0, NO_ISSUER_RETRY_SECONDS, None, None)


def _log_limit(upstream: KnownUpstream, before: float | None, source: str) -> None:
    log_event(
        "upstream-limit",
        upstream=upstream.name,
        per_second=describe_rate(upstream.limit.rate),
        before=describe_rate(before),
        source=source,
    )


def describe_rate(rate: float | None) -> float | str:
    """Return a limit as logs show it."""
    return "none" if rate is None else rate
