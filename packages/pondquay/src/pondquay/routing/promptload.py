"""Prompts at one upstream: cached shared parts and tokens that wait for prefill.

An instance counts its own prompts immediately, and the other instances report theirs.
Without these reports, several instances would send prompts to the same upstream, since
each considers it idle.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay.routing.prompts import PromptPart

# Maximum shared parts that an upstream is assumed to cache; the least recently used are
# evicted first.
MAX_CACHED_PARTS = 64


@dataclass(slots=True)
class PromptLoad:
    """The prompt tokens that wait for prefill at an upstream, and its cached parts.

    :param own: waiting prompt tokens of this instance
    :param others: waiting prompt tokens of other instances, by instance name
    """

    own: int = 0
    others: dict[str, int] = field(default_factory=dict)
    _cached: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def waiting(self) -> int:
        """Prompt tokens of all instances that wait for prefill."""
        return self.own + sum(self.others.values())

    def count_uncached(self, prefix: Iterable[PromptPart]) -> int:
        """Return the number of tokens of a prompt that need a prefill.

        A part counts as cached only if every part before it does as well.
        """
        uncached = 0
        for part in prefix:
            if uncached or part.name not in self._cached:
                uncached += part.tokens
        return uncached

    def count_until_prefilled(self, prefix: Iterable[PromptPart]) -> int:
        """Return the tokens to prefill until a prompt that arrives now is prefilled."""
        return self.waiting + self.count_uncached(prefix)

    def note_prefilled(self, parts: Iterable[str]) -> list[str]:
        """Record shared parts that have been prefilled, in the order of the prompt.

        :returns: the parts that were not known to be cached
        """
        new = []
        for part in parts:
            if part not in self._cached:
                new.append(part)
            self._cached[part] = None
            self._cached.move_to_end(part)
        while len(self._cached) > MAX_CACHED_PARTS:
            self._cached.popitem(last=False)
        return new

    def receive(self, instance: str, tokens: int) -> None:
        """Record the waiting prompt tokens that another instance reports."""
        if tokens:
            self.others[instance] = tokens
        else:
            self.others.pop(instance, None)
