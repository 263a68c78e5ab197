"""Choice of the upstream from which another copies cached parts of a prompt.

Copying cached parts is faster than prefilling them, and a prefill pauses the streams
that run at the same upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart

# Below this number of tokens, a prefill is faster than setting up a copy.
MIN_COPIED_TOKENS = 512


def count_missing_tokens(target: KnownUpstream, prefix: tuple[PromptPart, ...]) -> int:
    """Return how many tokens of a prompt, without its last part, are not cached."""
    return target.prompts.count_uncached(prefix[:-1])


def choose_source(
    target: KnownUpstream,
    others: Iterable[KnownUpstream],
    prefix: tuple[PromptPart, ...],
) -> KnownUpstream | None:
    """Return the upstream whose cached parts save the most tokens of prefill.

    On a tie, an upstream in the target's domain is preferred, since the path is shorter
    and no partition between domains can interrupt it.

    :param target: the upstream that runs the prompt
    :param others: healthy upstreams of the same service
    :returns: ``None`` if a copy would save too few tokens
    """
    missing = count_missing_tokens(target, prefix)
    domain = target.record.domain

    def sort_key(upstream: KnownUpstream) -> tuple[int, bool, str]:
        saved = missing - count_missing_tokens(upstream, prefix)
        return saved, upstream.record.domain == domain, upstream.name

    candidates = [other for other in others if other is not target]
    best = max(candidates, key=sort_key, default=None)
    if best is None or sort_key(best)[0] < MIN_COPIED_TOKENS:
        return None
    return best
