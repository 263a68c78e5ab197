from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.promptload import MAX_PARTS, PromptLoad
from pondquay.routing.prompts import PromptPart, list_shared
from pondquay.routing.rendezvous import MAX_PREFILL_TOKENS, choose_by_prompt
from pondquay.routing.upstreamrecords import UpstreamRecord

NOW = 50.0
PROMPT = (PromptPart("aa", 800), PromptPart("bb", 400), PromptPart("own", 250))


def test_only_what_was_not_read_before_has_to_be_read() -> None:
    load = PromptLoad()
    assert load.count_uncached(PROMPT) == 1450
    load.note_prefilled(list_shared(PROMPT))
    assert load.count_uncached(PROMPT) == 250


def test_a_part_after_one_that_is_gone_is_read_again() -> None:
    load = PromptLoad()
    load.note_prefilled(["bb"])
    assert load.count_uncached(PROMPT) == 1450


def test_the_only_part_counts_as_shared() -> None:
    assert list_shared(PROMPT) == ["aa", "bb"]
    assert list_shared(PROMPT[:1]) == ["aa"]


@given(st.lists(st.integers(0, 500).map(str), max_size=300))
def test_parts_used_longest_ago_give_way(parts: list[str]) -> None:
    load = PromptLoad()
    load.note_prefilled(parts)
    newest = list(dict.fromkeys(reversed(parts)))[:MAX_PARTS]
    for part in set(parts):
        unread = load.count_uncached([PromptPart(part, 1)])
        assert unread == (0 if part in newest else 1)


def test_what_others_have_waiting_counts_until_they_are_not_heard() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    for name in ("u1", "u2"):
        directory.put(UpstreamRecord(name, "judge", Address("10.0.0.1", 80), "a", 6), 1)
    first = choose_by_prompt(directory.all(), PROMPT, NOW)
    first.prompts.receive("peer", MAX_PREFILL_TOKENS)
    assert choose_by_prompt(directory.all(), PROMPT, NOW) is not first
    directory.forget_instance("peer")
    assert choose_by_prompt(directory.all(), PROMPT, NOW) is first
