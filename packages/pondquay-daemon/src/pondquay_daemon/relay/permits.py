"""Permits for upstreams whose rate limit applies to all instances together."""

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

# Time that a request waits for a permit before another upstream is chosen: a few round
# trips between failure domains.
PERMIT_WAIT_SECONDS = 0.05
# Delay before an instance without a reachable issuer asks again.
NO_ISSUER_RETRY_SECONDS = 0.25
# Maximum number of instances that may forward a request for permits.
MAX_HOPS = 1
# Sources of a limit, for the logs.
FROM_RESPONSE = "answer"
FROM_PEER = "peer"


@dataclass(frozen=True, slots=True)
class Refill:
    """A pending request for permits.

    :param done: fires once the request is completed
    :param overdue_at: time until which callers' requests wait for it, in seconds
    """

    done: Deferred[None]
    overdue_at: float


class PermitBroker(PermitListener):
    """Obtains permits for this instance, and issues or forwards them to peers.

    :param instance: name of this instance
    """

    def __init__(
        self,
        clock: IReactorTime,
        instance: str,
        directory: UpstreamDirectory,
        selector: IssuerSelector,
        links: PermitLinks,
        metrics: RelayMetrics,
    ) -> None:
        self._clock = clock
        self._instance = instance
        self._directory = directory
        self._selector = selector
        self._links = links
        self._metrics = metrics
        self._refills: dict[str, Refill] = {}
        links.connect(self)

    def can_supply(self, upstream: KnownUpstream) -> bool:
        """Return whether a permit is available, can be requested or is not needed."""
        if not upstream.is_limited():
            return True
        return upstream.permits.can_supply(self._clock.seconds())

    async def prepare(self, upstream: KnownUpstream, until: float) -> bool:
        """Request permits if there is none for one request.

        It waits only briefly for permits that have been requested, since other
        upstreams may serve the request.

        :param until: time until which the request may wait for permits, in seconds
        :returns: whether there is a permit, or none is needed
        """
        if not upstream.is_limited():
            return True
        now = self._clock.seconds()
        cache = upstream.permits
        cache.note_demand(now)
        if cache.count(now):
            return True
        if now < cache.next_request_at:
            return False
        refill = self._refills.get(upstream.name)
        if refill is None:
            refill = self._refills[upstream.name] = Refill(
                Deferred(), now + PERMIT_WAIT_SECONDS
            )
            spawn(self._refill(upstream, refill), "PermitBroker")
        seconds = min(refill.overdue_at, until) - now
        if seconds > 0:
            await wait_at_most(refill.done, seconds, self._clock, None)
        return not upstream.is_limited() or cache.count(self._clock.seconds()) > 0

    def take_prepared(self, upstream: KnownUpstream) -> bool:
        """Take a permit for one request.

        :returns: whether there was a permit, or none is needed
        """
        if not upstream.is_limited():
            return True
        return upstream.permits.take(self._clock.seconds())

    def plan_retry(self, upstreams: Iterable[KnownUpstream]) -> float | None:
        """Return the seconds after which a refused caller should retry.

        :returns: ``None`` if none of the upstreams is limited
        """
        caches = [upstream.permits for upstream in upstreams if upstream.is_limited()]
        if not caches:
            return None
        first = min(caches, key=lambda cache: cache.next_request_at)
        return first.plan_retry(self._clock.seconds())

    def list_limited(self) -> list[KnownUpstream]:
        """Return the upstreams that report a limit."""
        return self._directory.list_limited()

    def note_response_limit(
        self,
        upstream: KnownUpstream,
        rate: float | None,
        requested_at: float,
        delivered_at: float,
    ) -> None:
        """Record the limit that a response reports, and announce a change to peers.

        :param rate: requests per second, ``None`` if the response reports no limit
        :param requested_at: time at which the attempt began, in seconds
        :param delivered_at: latest time at which the request can have reached the
            upstream, in seconds
        """
        before = upstream.limit.rate
        limit = RateLimit(rate, self._clock.seconds())
        if self._directory.note_limit(upstream, limit, requested_at, delivered_at):
            _log_limit(upstream, before, FROM_RESPONSE)
            self._links.announce(upstream)

    def receive(self, name: str, rate: float | None, age: float) -> None:
        """Record an upstream's limit that a peer reports."""
        upstream = self._directory.find(name)
        if upstream is not None:
            self._receive(upstream, rate, age)

    def serve(self, link: PeerLink, request: PermitRequest) -> None:
        """Respond to a peer's request, by issuing permits or asking the issuer."""
        upstream = self._directory.find(request.upstream)
        if upstream is None:
            link.send(_grant_nothing(request.number))
            return
        self._receive(upstream, request.rate, request.age)
        spawn(self._serve(link, request, upstream), "PermitBroker")

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
        needed = min(MAX_PERMITS, cache.count_needed())
        try:
            grant = await self._obtain(self._instance, upstream, needed, 0)
            now = self._clock.seconds()
            cache.add(grant.count, requested_at + grant.seconds, grant.pause, now)
            self._metrics.permits.labels("granted").inc(grant.count)
            if not grant.count:
                self._metrics.permits.labels("refused").inc()
        finally:
            del self._refills[upstream.name]
            refill.done.callback(None)

    async def _obtain(
        self, requester: str, upstream: KnownUpstream, needed: int, hops: int
    ) -> PermitGrant:
        """Return permits for an instance, issued here or requested from the issuer."""
        rate = upstream.limit.rate
        if rate is None:
            return PermitGrant(0, needed, PERMIT_LIFETIME_SECONDS, 0.0, None, None)
        source = self._choose_source(upstream)
        if source == self._instance:
            now = self._clock.seconds()
            issued = upstream.issuer.issue(requester, needed, rate, now)
            self._metrics.permits.labels("issued").inc(issued.count)
            return PermitGrant(
                0, issued.count, PERMIT_LIFETIME_SECONDS, issued.pause, rate, None
            )
        if source is None or hops > MAX_HOPS:
            return _grant_nothing(0)
        grant = await self._links.ask(source, requester, upstream, needed, hops + 1)
        if grant is None:
            return _grant_nothing(0)
        if grant.age is not None:
            self._receive(upstream, grant.rate, grant.age)
        return grant

    def _choose_source(self, upstream: KnownUpstream) -> str | None:
        """Return the instance to ask for an upstream's permits; log changes.

        :returns: ``None`` if no instance can be asked
        """
        record, cache = upstream.record, upstream.permits
        source = self._selector.choose(record.name, record.domain)
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
    """Return a limit as shown in logs."""
    return "none" if rate is None else rate
