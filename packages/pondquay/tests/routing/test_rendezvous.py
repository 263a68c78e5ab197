from __future__ import annotations

from pondquay.addresses import Address
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.prompts import PromptPart
from pondquay.routing.rendezvous import (
    MAX_PREFILL_TOKENS,
    MAX_RUNNING_BY_PREFIX,
    choose_by_prompt,
    choose_nearest,
)
from pondquay.routing.upstreamrecords import UpstreamRecord

NOW = 50.0


def prompt(shared: str) -> tuple[PromptPart, ...]:
    return (PromptPart(shared, 13_000), PromptPart(f"{shared}-own", 3_000))


def known(name: str, domain: str = "a") -> KnownUpstream:
    return KnownUpstream(
        UpstreamRecord(name, "judge", Address("10.0.0.1", 80), domain, 6), 1
    )


def test_all_instances_choose_alike_whatever_order_they_know() -> None:
    upstreams = [known(f"u{number}") for number in range(6)]
    for prefix in map(str, range(50)):
        one = choose_by_prompt(upstreams, prompt(prefix), NOW)
        other = choose_by_prompt(upstreams[::-1], prompt(prefix), NOW)
        assert one.name == other.name


def test_only_the_prefixes_of_one_that_is_gone_move() -> None:
    upstreams = [known(f"u{number}") for number in range(6)]
    for prefix in map(str, range(100)):
        before = choose_by_prompt(upstreams, prompt(prefix), NOW).name
        after = choose_by_prompt(upstreams[1:], prompt(prefix), NOW).name
        assert before in (after, "u0")


def test_a_hot_prefix_spreads_once_an_upstream_is_crowded() -> None:
    upstreams = [known("u1"), known("u2")]
    first = choose_by_prompt(upstreams, prompt("hot"), NOW)
    first.running = MAX_RUNNING_BY_PREFIX
    assert choose_by_prompt(upstreams, prompt("hot"), NOW) is not first


def test_the_own_domain_is_taken_until_it_is_crowded() -> None:
    near, far = known("u1", "a"), known("u2", "b")
    assert choose_nearest([far, near], "a", 3) is near
    near.running = 3
    assert choose_nearest([far, near], "a", 3) is far
    far.running = 4
    assert choose_nearest([far, near], "a", 3) is near


def test_long_prompts_do_not_queue_behind_each_other() -> None:
    upstreams = [known("u1"), known("u2")]
    first = choose_by_prompt(upstreams, prompt("long"), NOW)
    first.prompts.own = MAX_PREFILL_TOKENS
    assert choose_by_prompt(upstreams, prompt("long"), NOW) is not first
    first.prompts.own = 0
    assert choose_by_prompt(upstreams, prompt("long"), NOW) is first


def test_where_all_are_crowded_a_prompt_stays_where_it_has_least_to_read() -> None:
    upstreams = [known("u1"), known("u2"), known("u3")]
    first = choose_by_prompt(upstreams, prompt("long"), NOW)
    for one in upstreams:
        one.prompts.own = MAX_PREFILL_TOKENS + 10_000
    first.prompts.note_prefilled(["long"])
    assert choose_by_prompt(upstreams, prompt("long"), NOW) is first
    other = next(one for one in upstreams if one is not first)
    other.prompts.own -= 12_000
    assert choose_by_prompt(upstreams, prompt("long"), NOW) is first, (
        "13,000 to read again"
    )
    other.prompts.own -= 2_000
    assert choose_by_prompt(upstreams, prompt("long"), NOW) is other


def disturb(upstream: KnownUpstream) -> None:
    for _ in range(3):
        upstream.pauses.note(0.4, 0.3, NOW)


def test_a_long_prompt_goes_where_it_breaks_no_stream() -> None:
    upstreams = [known("u1"), known("u2"), known("u3")]
    first = choose_by_prompt(upstreams, prompt("long"), NOW)
    disturb(first)
    second = choose_by_prompt(upstreams, prompt("long"), NOW)
    assert second is not first
    short = (PromptPart("long", 300), PromptPart("own", 300))
    assert choose_by_prompt(upstreams, short, NOW) is first
    first.prompts.note_prefilled(["long"])
    assert choose_by_prompt(upstreams, prompt("long"), NOW) is first


def test_where_all_are_disturbed_the_prompt_stays() -> None:
    upstreams = [known("u1"), known("u2")]
    first = choose_by_prompt(upstreams, prompt("long"), NOW)
    for one in upstreams:
        disturb(one)
    assert choose_by_prompt(upstreams, prompt("long"), NOW) is first
