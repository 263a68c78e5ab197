from __future__ import annotations

import pytest

from pondquay.addresses import Address
from pondquay.routing.copies import MIN_COPIED_TOKENS, choose_source
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.prompts import PromptPart
from pondquay.routing.upstreamrecords import UpstreamRecord

PROMPT = (PromptPart("a", 2_500), PromptPart("b", 3_800), PromptPart("own", 2_900))


def known(name: str, *read: str, domain: str = "hall") -> KnownUpstream:
    record = UpstreamRecord(name, "judge", Address("10.0.0.1", 80), domain, 8)
    upstream = KnownUpstream(record, 1)
    upstream.prompts.note_prefilled(read)
    return upstream


def test_the_one_that_has_read_most_is_copied_from() -> None:
    target, some, more = known("u1"), known("u2", "a"), known("u3", "a", "b")
    assert choose_source(target, [target, some, more], PROMPT) is more


def test_one_in_the_same_domain_goes_before_one_elsewhere() -> None:
    target = known("u1")
    far, near = known("u3", "a", "b", domain="yard"), known("u2", "a", "b")
    assert choose_source(target, [far, near], PROMPT) is near


@pytest.mark.parametrize(
    ("target", "others"),
    [
        (known("u1", "a", "b"), [known("u2", "a", "b")]),
        (known("u1"), []),
        (known("u1"), [known("u2", "b"), known("u3")]),
        (known("u1", "a"), [known("u2", "a")]),
    ],
)
def test_nothing_is_copied_that_spares_no_reading(
    target: KnownUpstream, others: list[KnownUpstream]
) -> None:
    assert choose_source(target, [target, *others], PROMPT) is None


def test_little_is_read_rather_than_copied() -> None:
    little = (PromptPart("a", MIN_COPIED_TOKENS - 1), PromptPart("own", 9_000))
    assert choose_source(known("u1"), [known("u2", "a")], little) is None


def test_a_part_that_belongs_to_the_request_alone_is_never_copied() -> None:
    alone = (PromptPart("own", 9_000),)
    assert choose_source(known("u1"), [known("u2", "own")], alone) is None
