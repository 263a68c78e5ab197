"""Upper bounds of what a request can cost, in tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

TOKENS_PER_MESSAGE = 8


def bound_prompt_tokens(contents: Iterable[str]) -> int:
    """Return the most tokens that a prompt can have.

    A token is at least one byte of the text; what frames a message costs a few more.

    :param contents: the texts of the messages
    """
    return sum(len(one.encode()) + TOKENS_PER_MESSAGE for one in contents)
