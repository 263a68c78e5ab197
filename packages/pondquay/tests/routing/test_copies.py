from __future__ import annotations

import pytest

from pondquay.addresses import Address
from pondquay.routing.copies import MIN_COPIED_TOKENS, choose_source
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.prompts import PromptPart
from pondquay.routing.upstreamrecords import UpstreamRecord

PROMPT = (PromptPart("a", 2_500), PromptPart("b", 3_800), PromptPart("own", 2_900))


def make_upstream(name: str, *cached: str, domain: str = "hall") -> KnownUpstream:
    record = UpstreamRecord(name, "judge", Address("10.0.0.1", 80), domain, 8)
    upstream = KnownUpstream(record, 1)
    upstream.prompts.note_prefilled(cached)
    return upstream


def test_the_source_is_the_upstream_with_the_most_cached_tokens() -> None:
    target, some, more = (
        make_upstream("u1"),
        make_upstream("u2", "a"),
        make_upstream("u3", "a", "b"),
    )
    assert choose_source(target, [target, some, more], PROMPT) is more


def test_a_source_in_the_same_domain_is_preferred() -> None:
    target = make_upstream("u1")
    far, near = (
        make_upstream("u3", "a", "b", domain="yard"),
        make_upstream("u2", "a", "b"),
    )
    assert choose_source(target, [far, near], PROMPT) is near


@pytest.mark.parametrize(
    ("target", "others"),
    [
        (make_upstream("u1", "a", "b"), [make_upstream("u2", "a", "b")]),
        (make_upstream("u1"), []),
        (make_upstream("u1"), [make_upstream("u2", "b"), make_upstream("u3")]),
        (make_upstream("u1", "a"), [make_upstream("u2", "a")]),
    ],
)
def test_no_source_is_chosen_if_a_copy_saves_no_prefill(
    target: KnownUpstream, others: list[KnownUpstream]
) -> None:
    assert choose_source(target, [target, *others], PROMPT) is None


def test_few_tokens_are_prefilled_rather_than_copied() -> None:
    short = (PromptPart("a", MIN_COPIED_TOKENS - 1), PromptPart("own", 9_000))
    assert choose_source(make_upstream("u1"), [make_upstream("u2", "a")], short) is None


def test_a_part_that_belongs_to_the_request_alone_is_never_copied() -> None:
    alone = (PromptPart("own", 9_000),)
    assert (
        choose_source(make_upstream("u1"), [make_upstream("u2", "own")], alone) is None
    )
