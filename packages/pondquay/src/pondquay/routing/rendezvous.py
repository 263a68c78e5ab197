"""Rendezvous hashing with a bound on load.

All instances rank the upstreams of a prefix alike without a message, so what one
instance's request left in an upstream's cache is found by the others' requests.
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

from pondquay.routing.prompts import list_shared

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart

# Requests of one instance at an upstream from which the next one in rank is taken.
MAX_RUNNING_BY_PREFIX = 8
# Prompt tokens of all instances that wait there, from which the next one is taken.
MAX_PREFILL_TOKENS = 24_000
# Prompt tokens to be read from which a prompt counts as long. Engines read some
# thousand between two tokens, and an event holds several tokens: a shorter prompt
# cannot stretch a pause by much.
LONG_PROMPT_TOKENS = 4_000


def score_pair(prefix: str, upstream: str) -> bytes:
    """Return the weight of an upstream for a prefix."""
    return blake2b(f"{prefix}\0{upstream}".encode(), digest_size=8).digest()


def choose_by_prompt(
    candidates: Sequence[KnownUpstream],
    prefix: tuple[PromptPart, ...],
    now: float,
    *,
    spare_streams: bool = True,
) -> KnownUpstream:
    """Return the first upstream in rank, unless too much waits to be read there.

    Upstreams whose streams suffer from long prompts get none while there are others.
    If too much waits, it is the one that has least to read before the prompt's end:
    what waits there and what of the prompt it has not read. So a prompt moves only
    where that saves reading, and a crowd everywhere does not scatter what is cached.

    :param spare_streams: whether to heed how streams suffer
    """
    shared = list_shared(prefix)[-1]
    undisturbed = [
        one
        for one in candidates
        if not (spare_streams and _is_disturbed(one, prefix, now))
    ]
    ranked = sorted(
        undisturbed or candidates,
        key=lambda one: score_pair(shared, one.name),
        reverse=True,
    )
    open_ones = [one for one in ranked if one.running < MAX_RUNNING_BY_PREFIX]
    if not open_ones:
        return min(ranked, key=lambda one: one.running)
    if open_ones[0].prompts.waiting < MAX_PREFILL_TOKENS:
        return open_ones[0]
    return min(open_ones, key=lambda one: one.prompts.count_until_read(prefix))


def _is_disturbed(
    upstream: KnownUpstream, prefix: tuple[PromptPart, ...], now: float
) -> bool:
    """Tell whether reading a prompt there would break the streams that run there."""
    if not upstream.pauses.breaks_streams(now):
        return False
    return upstream.prompts.count_uncached(prefix) >= LONG_PROMPT_TOKENS


def choose_nearest(
    candidates: Sequence[KnownUpstream], domain: str, crowded: int
) -> KnownUpstream:
    """Return the least used upstream, one of the own domain while not crowded.

    Those that are used alike take turns. Otherwise one would get all requests where
    there are few, and one that has begun anew none.

    :param crowded: requests of this instance from which the own domain is left
    """
    near = [one for one in candidates if one.record.domain == domain]
    best = min(near, key=_rank_by_use, default=None)
    if best is not None and best.running < crowded:
        return best
    return min(
        candidates,
        key=lambda one: (one.running, one.record.domain != domain, _rank_by_use(one)),
    )


def _rank_by_use(upstream: KnownUpstream) -> tuple[int, float]:
    """Return what runs there, and when a request was last placed there."""
    last_sent_at = -math.inf if upstream.last_sent_at is None else upstream.last_sent_at
    return upstream.running, last_sent_at
