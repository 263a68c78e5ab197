"""Choice of an upstream by the load and pace that are known of the fleet.

The upstreams are ranked by hash, in which slow ones are the first for fewer prefixes.
The first one in rank is kept, as it has cached the prompt's shared parts, unless the
request is expected to miss its route's objective there, to delay the streams
that run there, or to add to more than the upstream's share of the load.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay.routing.copies import MIN_COPIED_TOKENS, count_missing_tokens
from pondquay.routing.pace import START_TOKENS
from pondquay.routing.pauses import PREFILL_PAUSE_FRACTION
from pondquay.routing.rendezvous import (
    LONG_PROMPT_TOKENS,
    MAX_RUNNING_BY_PREFIX,
    rank_by_prompt,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart
    from pondquay.routing.servicepaces import ServicePace

# Fraction of the objective within which the first event is expected; the rest is for
# the caller's connection, what peers have not reported yet and a slow moment.
MAX_FIRST_FRACTION = 0.75
# A request counts as late only from this multiple of the time that it takes at an idle
# upstream. Where all are slow, or this instance itself is, moving prompts helps little.
MIN_LATE_RATIO = 2.0
# An upstream may have this multiple of the mean load relative to its pace.
MAX_LOAD_RATIO = 1.25
# Upstreams in rank among which a prompt moves, so that the prompts with the same shared
# parts stay at few upstreams.
MAX_RANK = 4


class Reason(StrEnum):
    """Why an upstream was chosen, or what spoke against the first in rank."""

    NEAREST = "nearest"
    FIRST_IN_RANK = "rank"
    LOADED = "load"
    LATE = "late"
    DISTURBING = "pause"
    RETURNED = "returned"


@dataclass(frozen=True, slots=True)
class Target:
    """What a route promises of its responses.

    :param objective: seconds to the response
    :param pause: seconds between two events of a stream, ``None`` without a target
    """

    objective: float
    pause: float | None


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream and what is known of it.

    :param reason: why the first upstream in rank was not chosen, or that it was
    :param running: estimated requests of all instances that run there
    :param slowness: time that it takes, relative to the median of its service, which is
        1
    """

    upstream: KnownUpstream
    reason: Reason = Reason.FIRST_IN_RANK
    running: float = 0.0
    slowness: float = 1.0


class FleetView:
    """The load and pace of a service's upstreams, as of one choice.

    :param scale: factor from the heard peers' counts to those of all peers
    :param copies: whether an upstream may copy shared parts from another
    """

    def __init__(
        self,
        upstreams: Sequence[KnownUpstream],
        pace: ServicePace,
        prefix: tuple[PromptPart, ...],
        target: Target,
        scale: float,
        *,
        copies: bool,
    ) -> None:
        self._upstreams = upstreams
        self._pace = pace
        self._prefix = prefix
        self._target = target
        self._scale = scale
        self._copies = copies
        self._copied_tokens: int | None = None
        idle = (START_TOKENS + prefix[-1].tokens) * pace.usual.seconds_per_token
        self._max_first = max(
            MAX_FIRST_FRACTION * target.objective, MIN_LATE_RATIO * idle
        )
        running = sum(map(self.count_running, upstreams))
        tokens = sum(map(self._count_tokens, upstreams))
        self._request_tokens = tokens / running if running else 0.0
        mean = sum(map(self._measure_load, upstreams)) / len(upstreams)
        self._max_load = max(MAX_RUNNING_BY_PREFIX, MAX_LOAD_RATIO * mean)

    def count_running(self, upstream: KnownUpstream) -> float:
        """Return the estimated requests of all instances at an upstream."""
        return upstream.running + self._scale * upstream.activity.heard_running

    def expect_first(self, upstream: KnownUpstream) -> float:
        """Return the expected seconds to the first event."""
        return self._seconds_to_read(upstream, START_TOKENS)

    def find_obstacle(self, upstream: KnownUpstream) -> Reason | None:
        """Return what speaks against an upstream, ``None`` if it fits."""
        if self.expect_first(upstream) > self._max_first:
            return Reason.LATE
        if self._measure_load(upstream) >= self._max_load:
            return Reason.LOADED
        if self._would_disturb(upstream):
            return Reason.DISTURBING
        return None

    def _would_disturb(self, upstream: KnownUpstream) -> bool:
        """Return whether streams there would pause for longer than is allowed."""
        pause = self._target.pause
        if pause is None or not self.count_running(upstream):
            return False
        if self._count_uncached(upstream) < LONG_PROMPT_TOKENS:
            return False
        return self._seconds_to_read(upstream, 0) > PREFILL_PAUSE_FRACTION * pause

    def _seconds_to_read(self, upstream: KnownUpstream, extra: int) -> float:
        tokens = extra + upstream.prompts.waiting + self._count_uncached(upstream)
        return tokens * self._pace.find(upstream.name).seconds_per_token

    def _count_uncached(self, upstream: KnownUpstream) -> int:
        """Return the tokens to process, after a copy of shared parts if possible."""
        uncached = upstream.prompts.count_uncached(self._prefix)
        if not self._copies:
            return uncached
        if count_missing_tokens(upstream, self._prefix) < MIN_COPIED_TOKENS:
            return uncached
        if self._copied_tokens is None:
            self._copied_tokens = min(
                other.prompts.count_uncached(self._prefix) for other in self._upstreams
            )
        return min(uncached, self._copied_tokens)

    def _measure_load(self, upstream: KnownUpstream) -> float:
        """Return the load of an upstream in requests at the usual pace.

        Where its requests are longer than usual, the memory that they take counts as
        that of more requests: an engine whose memory is used up interrupts the newest
        request and processes its prompt again.
        """
        running = self.count_running(upstream)
        if self._request_tokens:
            running = max(running, self._count_tokens(upstream) / self._request_tokens)
        return running * self._pace.find(upstream.name).slowness

    def _count_tokens(self, upstream: KnownUpstream) -> float:
        return upstream.activity.tokens + self._scale * upstream.activity.heard_tokens


def choose_expected(
    candidates: Sequence[KnownUpstream],
    prefix: tuple[PromptPart, ...],
    target: Target,
    pace: ServicePace,
    now: float,
    *,
    scale: float = 0.0,
    spare_streams: bool = True,
    copies: bool = False,
) -> Choice:
    """Return the first upstream in rank, or a better one if something speaks against.

    If other upstreams among the first in rank fit, the one with the least expected time
    to the first event is chosen. If none fits since the prompt is long, it is sent
    where it delays the fewest streams. If none fits for other reasons, an upstream
    further down the rank is chosen, and if all are late, the one with the least
    expected time.

    :param pace: pace of the service
    :param scale: factor from the heard peers' counts to those of all peers
    :param spare_streams: whether to avoid upstreams whose streams pause too long
    :param copies: whether an upstream may copy shared parts from another
    """
    view = FleetView(candidates, pace, prefix, target, scale, copies=copies)
    ranked = rank_by_prompt(
        candidates,
        prefix,
        now,
        spare_streams=spare_streams,
        weigh=lambda upstream: pace.find(upstream.name).share,
    )
    reason = view.find_obstacle(ranked[0]) or Reason.FIRST_IN_RANK
    chosen = ranked[0]
    if reason is not Reason.FIRST_IN_RANK:
        chosen = _choose_other(ranked, view)
    slowness = pace.find(chosen.name).slowness
    return Choice(chosen, reason, view.count_running(chosen), slowness)


def _choose_other(ranked: list[KnownUpstream], view: FleetView) -> KnownUpstream:
    obstacles = [view.find_obstacle(upstream) for upstream in ranked]
    near = list(zip(ranked, obstacles, strict=True))[:MAX_RANK]
    fitting = [upstream for upstream, obstacle in near if obstacle is None]
    if fitting:
        return min(fitting, key=view.expect_first)
    disturbed = [
        upstream for upstream, obstacle in near if obstacle is Reason.DISTURBING
    ]
    if disturbed:
        return min(disturbed, key=view.count_running)
    for upstream, obstacle in zip(ranked, obstacles, strict=True):
        if obstacle is None:
            return upstream
    return min(ranked, key=view.expect_first)
