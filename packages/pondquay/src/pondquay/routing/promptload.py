"""Prompts at one upstream: which shared parts it has read, and how much it has yet to.

What an instance sends there itself it knows at once, what others send it hears from
them. Without that, each sees an idle upstream where the prompts of all queue up.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pondquay.routing.prompts import PromptPart

# Shared parts that an upstream is taken to keep; those used longest ago give way.
MAX_PARTS = 64


@dataclass(slots=True)
class PromptLoad:
    """What waits to be read at an upstream, and what has been.

    :param own: prompt tokens of this instance that are not read yet
    :param others: the same of other instances, by their names
    """

    own: int = 0
    others: dict[str, int] = field(default_factory=dict)
    _read: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def waiting(self) -> int:
        """Prompt tokens of all instances that wait to be read."""
        return self.own + sum(self.others.values())

    def count_uncached(self, prefix: Iterable[PromptPart]) -> int:
        """Return the tokens of a prompt that have to be read.

        A part counts as read only if every part before it does as well.
        """
        unread = 0
        for part in prefix:
            if unread or part.name not in self._read:
                unread += part.tokens
        return unread

    def count_until_read(self, prefix: Iterable[PromptPart]) -> int:
        """Return the tokens to be read there before a prompt that comes now is."""
        return self.waiting + self.count_uncached(prefix)

    def note_prefilled(self, parts: Iterable[str]) -> list[str]:
        """Note shared parts that have been read there, in the order of the prompt.

        :returns: those that were not known to be
        """
        new = []
        for part in parts:
            if part not in self._read:
                new.append(part)
            self._read[part] = None
            self._read.move_to_end(part)
        while len(self._read) > MAX_PARTS:
            self._read.popitem(last=False)
        return new

    def receive(self, instance: str, tokens: int) -> None:
        """Take in what another instance has waiting there."""
        if tokens:
            self.others[instance] = tokens
        else:
            self.others.pop(instance, None)
