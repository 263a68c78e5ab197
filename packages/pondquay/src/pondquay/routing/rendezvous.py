"""Rendezvous hashing with a bound on load.

All instances rank the upstreams of a prefix alike without a message, so what one
instance's request left in an upstream's cache is found by the others' requests.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.routing.directory import KnownUpstream

# Requests of one instance at an upstream from which the next one in rank is taken.
MOST_RUNNING_BY_PREFIX = 8
# Prompt tokens of all instances that wait there, from which the next one is taken.
MOST_READING_TOKENS = 24_000


def score_pair(prefix: str, upstream: str) -> bytes:
    """Return the weight of an upstream for a prefix."""
    return blake2b(f"{prefix}\0{upstream}".encode(), digest_size=8).digest()


def choose_by_prefix(candidates: Sequence[KnownUpstream], prefix: str) -> KnownUpstream:
    """Return the first upstream in rank that is not crowded."""
    ranked = sorted(
        candidates, key=lambda one: score_pair(prefix, one.name), reverse=True
    )
    for one in ranked:
        crowded = one.running >= MOST_RUNNING_BY_PREFIX
        if not crowded and one.prompts.waiting < MOST_READING_TOKENS:
            return one
    return min(ranked, key=lambda one: (one.prompts.waiting, one.running))


def choose_nearest(
    candidates: Sequence[KnownUpstream], domain: str, crowded: int
) -> KnownUpstream:
    """Return the least used upstream, one of the own domain while not crowded.

    :param crowded: requests of this instance from which the own domain is left
    """
    near = [one for one in candidates if one.record.domain == domain]
    best = min(near, key=lambda one: one.running, default=None)
    if best is not None and best.running < crowded:
        return best
    return min(candidates, key=lambda one: (one.running, one.record.domain != domain))
