"""Choice of the upstream that a request is sent to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.routing.copies import (
    MIN_COPIED_TOKENS,
    choose_source,
    count_missing_tokens,
)
from pondquay.routing.expected import Choice, Reason, choose_expected
from pondquay.routing.rendezvous import choose_by_prompt, choose_nearest
from pondquay.routing.servicepaces import PaceTable

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay.policy import RelayPolicy
    from pondquay.routing.coldshares import ColdShares
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.expected import Target
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart
    from pondquay_daemon.relay.activitylinks import ActivityLinks
    from pondquay_daemon.relay.permits import PermitBroker


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """Reason why no upstream can receive a request at present.

    :param retry_after: seconds after which an upstream is available, ``None`` if
        unknown
    """

    reason: str
    retry_after: float | None = None


class Placement:
    """Chooses upstreams by their cached prompts, load and availability.

    :param domain: failure domain of this instance, whose upstreams are preferred
    """

    def __init__(
        self,
        clock: IReactorTime,
        directory: UpstreamDirectory,
        domain: str,
        policy: RelayPolicy,
        cold_shares: ColdShares,
        permits: PermitBroker,
        activity: ActivityLinks,
    ) -> None:
        self._activity = activity
        self._paces = PaceTable()
        self._permits = permits
        self._cold_shares = cold_shares
        self._policy = policy
        self._clock = clock
        self._directory = directory
        self._domain = domain

    def choose(
        self,
        service: str,
        prefix: tuple[PromptPart, ...],
        target: Target,
        tried: Collection[str],
        unreachable_domains: Collection[str] = (),
        *,
        versions: Collection[str] | None = None,
        copies: bool = False,
        only_healthy: bool = False,
    ) -> Choice | None:
        """Return an upstream that was not tried yet, ``None`` if there is none.

        :param copies: whether upstreams may copy cached parts of the prompt
        :param only_healthy: whether to return no upstream that is likely to fail
        :param tried: names of the upstreams that were tried
        :param unreachable_domains: domains in which the request could not connect;
            upstreams of other domains are preferred
        :param versions: the only versions of their software, ``None`` for any
        """
        now = self._clock.seconds()
        candidates = self._list_usable(service, versions, tried, now)
        healthy = [
            upstream for upstream in candidates if self._is_healthy(upstream, now)
        ]
        if not (healthy if only_healthy else candidates):
            return None
        reachable = [
            upstream
            for upstream in healthy
            if upstream.record.domain not in unreachable_domains
        ]
        return self._choose_from(
            reachable or healthy or candidates, prefix, target, now, copies=copies
        )

    def note_chosen(self, upstream: KnownUpstream) -> None:
        """Record that a request is to be sent to an upstream."""
        upstream.last_sent_at = self._clock.seconds()

    def is_usable(
        self,
        upstream: KnownUpstream,
        versions: Collection[str] | None,
        tried: Collection[str],
    ) -> bool:
        """Return whether a healthy upstream that was found can still be tried.

        :param versions: the only versions of its software, ``None`` for any
        """
        now = self._clock.seconds()
        service = upstream.record.service
        return (
            upstream in self._directory.candidates(service, versions)
            and upstream.name not in tried
            and not upstream.in_backoff(now)
            and not self._must_not_fill(upstream)
            and self._is_healthy(upstream, now)
        )

    def may_return(
        self, upstream: KnownUpstream, versions: Collection[str] | None
    ) -> bool:
        """Return whether an upstream that was left can be tried again, healthy or not.

        :param versions: the only versions of its software, ``None`` for any
        """
        now, service = self._clock.seconds(), upstream.record.service
        return upstream in self._list_usable(service, versions, (), now)

    def note_connect_failure(self, upstream: KnownUpstream, *, refused: bool) -> None:
        """Record that no connection to an upstream could be established.

        :param refused: whether its host refused; if so, the upstream has stopped and
            its domain is reachable
        """
        now = self._clock.seconds()
        upstream.circuit.trip(now)
        if self._policy.leave_dark and not refused:
            reach = self._directory.reach
            reach.note_failed(upstream.record.domain, upstream.name, now)

    def explain_no_upstream(
        self, service: str, versions: Collection[str] | None, tried: Collection[str]
    ) -> NoUpstream:
        """Return why there is no upstream for a request.

        :param versions: the only versions of their software, ``None`` for any
        """
        now = self._clock.seconds()
        candidates = self._directory.candidates(service, versions)
        if not candidates and self._directory.candidates(service):
            return NoUpstream("no upstream with the version that began the stream")
        if candidates and all(upstream.in_backoff(now) for upstream in candidates):
            first = min(upstream.backoff_until for upstream in candidates)
            return NoUpstream("all upstreams asked to back off", first - now)
        if self._directory.evacuations.evacuated:
            return NoUpstream("no upstream in the domains that are not emptied")
        remaining = [
            upstream
            for upstream in candidates
            if upstream.name not in tried and not upstream.in_backoff(now)
        ]
        retry_after = self._permits.plan_retry(remaining)
        if retry_after is not None:
            return NoUpstream("no upstream below its limit", retry_after)
        if any(map(self._must_not_fill, remaining)):
            return NoUpstream("no upstream with room")
        if remaining:
            return NoUpstream("no upstream that is warm")
        return NoUpstream("no upstream")

    def _list_usable(
        self,
        service: str,
        versions: Collection[str] | None,
        tried: Collection[str],
        now: float,
    ) -> list[KnownUpstream]:
        """Return the upstreams that may receive the request, healthy or not.

        Upstreams in back-off are excluded: they run nothing, so they would seem the
        least loaded and use up the attempts of requests that others can serve.
        """
        return [
            upstream
            for upstream in self._directory.candidates(service, versions)
            if upstream.name not in tried
            and not upstream.in_backoff(now)
            and self._cold_shares.allows(upstream, now)
            and not self._must_not_fill(upstream)
        ]

    def _must_not_fill(self, upstream: KnownUpstream) -> bool:
        """Return whether an upstream that must reject little probably has no room."""
        if upstream.rejection_bound is None:
            return False
        return self._activity.count_running(upstream) >= upstream.record.slots

    def _choose_from(
        self,
        candidates: list[KnownUpstream],
        prefix: tuple[PromptPart, ...],
        target: Target,
        now: float,
        *,
        copies: bool,
    ) -> Choice:
        if prefix:
            return self._choose_by_prompt(
                candidates, prefix, target, now, copies=copies
            )
        max_running = max(
            1, int(self._policy.crowded_part * candidates[0].record.slots)
        )
        nearest = choose_nearest(candidates, self._domain, max_running)
        return Choice(nearest, Reason.NEAREST)

    def _choose_by_prompt(
        self,
        candidates: list[KnownUpstream],
        prefix: tuple[PromptPart, ...],
        target: Target,
        now: float,
        *,
        copies: bool,
    ) -> Choice:
        spare = self._policy.spare_streams
        pace = None
        if self._policy.weigh_pace:
            pace = self._paces.measure(candidates, now)
        # A small fleet hears of all prompts at once, so with upstreams of one pace the
        # rank and the waiting tokens are enough, and fewer cached parts move.
        is_even = pace is not None and not pace.count_slow()
        if pace is None or (is_even and self._activity.scale <= 1):
            chosen = choose_by_prompt(candidates, prefix, now, spare_streams=spare)
            return Choice(chosen)
        return choose_expected(
            candidates,
            prefix,
            target,
            pace,
            now,
            scale=self._activity.scale,
            spare_streams=spare,
            copies=copies and self._policy.copy_parts,
        )

    def find_copy_source(
        self, target: KnownUpstream, prefix: tuple[PromptPart, ...]
    ) -> KnownUpstream | None:
        """Return an upstream from which another may copy cached parts of a prompt.

        :param target: the upstream that needs the parts
        """
        if not self._policy.copy_parts:
            return None
        if count_missing_tokens(target, prefix) < MIN_COPIED_TOKENS:
            return None
        now = self._clock.seconds()
        healthy = [
            upstream
            for upstream in self._directory.candidates(target.record.service)
            if self._is_healthy(upstream, now) and upstream.missing_since is None
        ]
        return choose_source(target, healthy, prefix)

    def count_slow(self) -> int:
        """Return the number of upstreams that get fewer prompts as they are slow."""
        return self._paces.count_slow()

    def has_alternative(
        self, service: str, versions: Collection[str] | None, tried: Collection[str]
    ) -> bool:
        """Return whether another healthy upstream can be tried.

        :param versions: the only versions of its software, ``None`` for any
        """
        now = self._clock.seconds()
        return any(
            self._is_healthy(upstream, now) and self._permits.can_supply(upstream)
            for upstream in self._list_usable(service, versions, tried, now)
        )

    def _is_healthy(self, upstream: KnownUpstream, now: float) -> bool:
        if self._policy.circuits and not upstream.circuit.allows(now):
            return False
        return not self._directory.reach.is_unreachable(upstream.record.domain, now)
