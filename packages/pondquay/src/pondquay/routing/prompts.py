"""Prompts as ordered parts, of which the leading ones may be shared with others."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt.

    :param name: identifies the prompt up to the end of this part: it is equal for all
        prompts that are equal up to there
    """

    name: str
    tokens: int


def list_shared(prefix: tuple[PromptPart, ...]) -> list[str]:
    """Return the names of the parts that other prompts may share, in order.

    The last part belongs to the request alone, unless it is the only part.
    """
    return [part.name for part in (prefix[:-1] or prefix)]


def describe_prompt(prefix: tuple[PromptPart, ...]) -> str:
    """Return the names of all parts, for the log."""
    return ",".join(part.name for part in prefix)
