"""Rendezvous hashing with a bound on load.

Without exchanging messages, all instances rank the upstreams for a prefix alike. So
the requests of all instances can use a prompt that an upstream has cached.
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

from pondquay.routing.prompts import list_shared

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart

# An upstream that runs this many requests of this instance is skipped, unless all do.
MAX_RUNNING_BY_PREFIX = 8
# If this many prompt tokens wait for prefill at the first upstream in rank, the
# upstream with the fewest tokens to prefill is chosen instead.
MAX_PREFILL_TOKENS = 24_000
# Uncached tokens from which a prompt counts as long. Engines prefill some thousand
# tokens in one pause of a stream, so shorter prompts do not extend it by much.
LONG_PROMPT_TOKENS = 4_000


def score_pair(key: str, node: str) -> bytes:
    """Return the rendezvous weight of a node, such as an upstream, for a key."""
    return blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()


def choose_by_prompt(
    candidates: Sequence[KnownUpstream],
    prefix: tuple[PromptPart, ...],
    now: float,
    *,
    spare_streams: bool = True,
) -> KnownUpstream:
    """Return the first upstream in rank that does not run too many requests.

    If too many tokens wait for prefill there, return the upstream with the fewest
    tokens to prefill until the prompt is prefilled: the waiting tokens and the uncached
    tokens of the prompt. So a prompt moves only if that saves prefill, and an overload
    of all upstreams does not scatter cached prompts. If all upstreams run too many
    requests, return the upstream with the fewest.

    :param spare_streams: whether to avoid upstreams where a long prompt would disturb
        running streams, as long as there are others
    """
    ranked = rank_by_prompt(candidates, prefix, now, spare_streams=spare_streams)
    available = [
        upstream for upstream in ranked if upstream.running < MAX_RUNNING_BY_PREFIX
    ]
    if not available:
        return min(ranked, key=lambda upstream: upstream.running)
    if available[0].prompts.waiting < MAX_PREFILL_TOKENS:
        return available[0]
    return min(
        available,
        key=lambda upstream: upstream.prompts.count_until_prefilled(prefix),
    )


def rank_by_prompt(
    candidates: Sequence[KnownUpstream],
    prefix: tuple[PromptPart, ...],
    now: float,
    *,
    spare_streams: bool = True,
    weigh: Callable[[KnownUpstream], float] | None = None,
) -> list[KnownUpstream]:
    """Return upstreams in the order that all instances use for a prompt's prefix.

    :param spare_streams: whether to omit upstreams where a long prompt would disturb
        running streams, as long as there are others
    :param weigh: returns the relative share of prefixes for which an upstream is the
        first; without it, all shares are equal. Equal weights do not change the order
    """
    shared = list_shared(prefix)[-1]
    undisturbed = [
        upstream
        for upstream in candidates
        if not (spare_streams and _would_disturb(upstream, prefix, now))
    ]
    remaining = undisturbed or candidates
    if weigh is None:
        return sorted(
            remaining,
            key=lambda upstream: score_pair(shared, upstream.name),
            reverse=True,
        )
    return sorted(
        remaining,
        key=lambda upstream: _score_weighted(shared, upstream.name, weigh(upstream)),
        reverse=True,
    )


def _score_weighted(key: str, node: str, weight: float) -> float:
    """Return the rendezvous weight of a node that has a share of the keys."""
    uniform = (int.from_bytes(score_pair(key, node), "big") + 1) / 2**64
    return math.log(uniform) / weight


def _would_disturb(
    upstream: KnownUpstream, prefix: tuple[PromptPart, ...], now: float
) -> bool:
    """Return whether prefilling a prompt there would disturb running streams."""
    if not upstream.pauses.are_excessive(now):
        return False
    return upstream.prompts.count_uncached(prefix) >= LONG_PROMPT_TOKENS


def choose_nearest(
    candidates: Sequence[KnownUpstream], domain: str, max_running: int
) -> KnownUpstream:
    """Return the least busy upstream, preferably in this instance's domain.

    Among equally busy upstreams, the least recently used is chosen. Otherwise, a single
    upstream would get all requests at low load.

    :param domain: domain of this instance
    :param max_running: other domains are considered if each upstream of this domain
        runs at least this many requests of this instance
    """
    near = [upstream for upstream in candidates if upstream.record.domain == domain]
    best = min(near, key=_rank_by_use, default=None)
    if best is not None and best.running < max_running:
        return best
    return min(
        candidates,
        key=lambda upstream: (
            upstream.running,
            upstream.record.domain != domain,
            _rank_by_use(upstream),
        ),
    )


def _rank_by_use(upstream: KnownUpstream) -> tuple[int, float]:
    """Return the running requests of an upstream, and when it was last chosen."""
    last_sent_at = -math.inf if upstream.last_sent_at is None else upstream.last_sent_at
    return upstream.running, last_sent_at
