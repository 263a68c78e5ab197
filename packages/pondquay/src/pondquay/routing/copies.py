"""From which upstream another copies what it has not read of a prompt.

To copy shared parts takes a small part of the time that reading them does, and while a
prompt is read, all streams beside it pause.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart

# Tokens that a copy must spare reading: more than an engine reads in the time that it
# takes to set one up.
MIN_COPIED_TOKENS = 512


def count_missing_tokens(target: KnownUpstream, prefix: tuple[PromptPart, ...]) -> int:
    """Return the shared tokens of a prompt that an upstream has not read."""
    return target.prompts.count_uncached(prefix[:-1])


def choose_source(
    target: KnownUpstream,
    others: Iterable[KnownUpstream],
    prefix: tuple[PromptPart, ...],
) -> KnownUpstream | None:
    """Return the upstream that has read most of a prompt's shared parts.

    Of several, one in the target's domain is preferred: the way is shorter, and no cut
    between domains can come between.

    :param others: sound upstreams of the same service
    :returns: ``None`` if a copy would not spare enough
    """
    lacking = count_missing_tokens(target, prefix)
    domain = target.record.domain

    def order(upstream: KnownUpstream) -> tuple[int, bool, str]:
        spared = lacking - count_missing_tokens(upstream, prefix)
        return spared, upstream.record.domain == domain, upstream.name

    candidates = [one for one in others if one is not target]
    best = max(candidates, key=order, default=None)
    if best is None or order(best)[0] < MIN_COPIED_TOKENS:
        return None
    return best
