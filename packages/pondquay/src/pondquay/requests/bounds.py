"""Upper bounds of the tokens that a request costs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

TOKENS_PER_MESSAGE = 8


def bound_prompt_tokens(contents: Iterable[str]) -> int:
    """Return an upper bound of the tokens of a prompt.

    A token represents at least one byte of text; each message adds at most
    ``TOKENS_PER_MESSAGE`` tokens that delimit it.

    :param contents: the texts of the prompt's messages
    """
    return sum(len(text.encode()) + TOKENS_PER_MESSAGE for text in contents)
