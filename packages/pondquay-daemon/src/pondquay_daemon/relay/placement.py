"""Which upstream a request is sent to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.routing.copies import (
    MIN_COPIED_TOKENS,
    choose_source,
    count_missing_tokens,
)
from pondquay.routing.rendezvous import choose_by_prompt, choose_nearest

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.interfaces import IReactorTime

    from pondquay.policy import RelayPolicy
    from pondquay.routing.coldshares import ColdShares
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart
    from pondquay_daemon.relay.permits import PermitBroker


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """Why no upstream may get a request now.

    :param retry_after: seconds after which one may, ``None`` if nothing tells
    """

    reason: str
    retry_after: float | None = None


class Placement:
    """Chooses upstreams by what their caches hold and by how they behave."""

    def __init__(
        self,
        clock: IReactorTime,
        directory: UpstreamDirectory,
        domain: str,
        policy: RelayPolicy,
        cold_shares: ColdShares,
        permits: PermitBroker,
    ) -> None:
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
        tried: Collection[str],
        unreached: Collection[str] = (),
    ) -> KnownUpstream | None:
        """Return an upstream that was not tried yet, ``None`` if there is none.

        :param unreached: domains in which the request found no connection; others come
            first
        """
        now = self._clock.seconds()
        candidates = self._list_usable(service, tried, now)
        if not candidates:
            return None
        sound = [one for one in candidates if self._is_healthy(one, now)]
        elsewhere = [one for one in sound if one.record.domain not in unreached]
        chosen = self._choose_of(elsewhere or sound or candidates, prefix, now)
        chosen.last_sent_at = now
        return chosen

    def note_unreached(self, upstream: KnownUpstream, *, refused: bool) -> None:
        """Learn that no connection to an upstream could be made.

        :param refused: whether its host said that nobody listens: the upstream has
            ended, and its domain is there
        """
        now = self._clock.seconds()
        upstream.circuit.trip(now)
        if self._policy.leave_dark and not refused:
            reach = self._directory.reach
            reach.note_failed(upstream.record.domain, upstream.name, now)

    def explain_none(self, service: str, tried: Collection[str]) -> NoUpstream:
        """Return why there is no upstream for a request."""
        now = self._clock.seconds()
        candidates = self._directory.candidates(service)
        if candidates and all(one.in_backoff(now) for one in candidates):
            first = min(one.backoff_until for one in candidates)
            return NoUpstream("all upstreams asked to back off", first - now)
        if self._directory.evacuations.evacuated:
            return NoUpstream("no upstream in the domains that are not emptied")
        left = [
            one
            for one in candidates
            if one.name not in tried and not one.in_backoff(now)
        ]
        retry_after = self._permits.plan_retry(left)
        if retry_after is not None:
            return NoUpstream("no upstream below its limit", retry_after)
        if left:
            return NoUpstream("no upstream that is warm")
        return NoUpstream("no upstream")

    def _list_usable(
        self, service: str, tried: Collection[str], now: float
    ) -> list[KnownUpstream]:
        """Return those that may get the request, whether they answer or not.

        One that asked to back off runs nothing, so it would seem the least loaded of
        all, and take the tries of callers that others can serve.
        """
        return [
            one
            for one in self._directory.candidates(service)
            if one.name not in tried
            and not one.in_backoff(now)
            and self._cold_shares.allows(one, now)
        ]

    def _choose_of(
        self,
        candidates: list[KnownUpstream],
        prefix: tuple[PromptPart, ...],
        now: float,
    ) -> KnownUpstream:
        if prefix:
            spare = self._policy.spare_streams
            return choose_by_prompt(candidates, prefix, now, spare_streams=spare)
        crowded = max(1, int(self._policy.crowded_part * candidates[0].record.slots))
        return choose_nearest(candidates, self._domain, crowded)

    def find_source(
        self, target: KnownUpstream, prefix: tuple[PromptPart, ...]
    ) -> KnownUpstream | None:
        """Return an upstream from which another may copy what it has not read."""
        if not self._policy.copy_parts:
            return None
        if count_missing_tokens(target, prefix) < MIN_COPIED_TOKENS:
            return None
        now = self._clock.seconds()
        sound = [
            one
            for one in self._directory.candidates(target.record.service)
            if self._is_healthy(one, now) and one.missing_since is None
        ]
        return choose_source(target, sound, prefix)

    def has_other(self, service: str, tried: Collection[str]) -> bool:
        """Tell whether a sound upstream is left that was not tried."""
        now = self._clock.seconds()
        return any(
            self._is_healthy(one, now) and self._permits.can_supply(one)
            for one in self._list_usable(service, tried, now)
        )

    def _is_healthy(self, upstream: KnownUpstream, now: float) -> bool:
        if self._policy.circuits and not upstream.circuit.allows(now):
            return False
        return not self._directory.reach.is_unreachable(upstream.record.domain, now)
