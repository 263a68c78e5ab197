"""Prompts as ordered parts."""

from __future__ import annotations

from pondquay.routing.prompts import PromptPart, describe_prompt, list_shared

PREFIX = (PromptPart("5c1e", 800), PromptPart("91bd", 410), PromptPart("e440", 250))


def test_the_last_part_is_not_shared_unless_it_is_the_only_one() -> None:
    assert list_shared(PREFIX) == ["5c1e", "91bd"]
    assert list_shared(PREFIX[:1]) == ["5c1e"]


def test_a_prompt_is_described_by_all_its_parts() -> None:
    assert describe_prompt(PREFIX) == "5c1e,91bd,e440"
    assert describe_prompt(()) == ""
