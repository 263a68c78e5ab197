"""Prompts as placement sees them: parts in order, of which the first may be shared."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt.

    :param name: the same for all prompts that share the part up to its end
    """

    name: str
    tokens: int


def list_shared(prefix: tuple[PromptPart, ...]) -> list[str]:
    """Return the names of the parts that other prompts share, in order.

    The last part of all belongs to the request itself, unless it is the only one.
    """
    return [part.name for part in (prefix[:-1] or prefix)]
