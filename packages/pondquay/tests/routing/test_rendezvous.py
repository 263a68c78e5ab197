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


def make_prompt(shared: str) -> tuple[PromptPart, ...]:
    return (PromptPart(shared, 13_000), PromptPart(f"{shared}-own", 3_000))


def make_upstream(name: str, domain: str = "a") -> KnownUpstream:
    return KnownUpstream(
        UpstreamRecord(name, "judge", Address("10.0.0.1", 80), domain, 6), 1
    )


def test_the_choice_does_not_depend_on_the_order_of_upstreams() -> None:
    upstreams = [make_upstream(f"u{number}") for number in range(6)]
    for prefix in map(str, range(50)):
        forward = choose_by_prompt(upstreams, make_prompt(prefix), NOW)
        backward = choose_by_prompt(upstreams[::-1], make_prompt(prefix), NOW)
        assert forward.name == backward.name


def test_only_the_prefixes_of_a_removed_upstream_move() -> None:
    upstreams = [make_upstream(f"u{number}") for number in range(6)]
    for prefix in map(str, range(100)):
        before = choose_by_prompt(upstreams, make_prompt(prefix), NOW).name
        after = choose_by_prompt(upstreams[1:], make_prompt(prefix), NOW).name
        assert before in (after, "u0")


def test_a_frequent_prefix_spreads_once_an_upstream_is_overloaded() -> None:
    upstreams = [make_upstream("u1"), make_upstream("u2")]
    first = choose_by_prompt(upstreams, make_prompt("hot"), NOW)
    first.running = MAX_RUNNING_BY_PREFIX
    assert choose_by_prompt(upstreams, make_prompt("hot"), NOW) is not first


def test_an_instances_domain_is_preferred_until_it_is_overloaded() -> None:
    near, far = make_upstream("u1", "a"), make_upstream("u2", "b")
    assert choose_nearest([far, near], "a", 3) is near
    near.running = 3
    assert choose_nearest([far, near], "a", 3) is far
    far.running = 4
    assert choose_nearest([far, near], "a", 3) is near


def test_long_prompts_do_not_queue_behind_each_other() -> None:
    upstreams = [make_upstream("u1"), make_upstream("u2")]
    first = choose_by_prompt(upstreams, make_prompt("long"), NOW)
    first.prompts.own = MAX_PREFILL_TOKENS
    assert choose_by_prompt(upstreams, make_prompt("long"), NOW) is not first
    first.prompts.own = 0
    assert choose_by_prompt(upstreams, make_prompt("long"), NOW) is first


def test_if_all_upstreams_are_overloaded_the_shortest_prefill_is_chosen() -> None:
    upstreams = [make_upstream("u1"), make_upstream("u2"), make_upstream("u3")]
    first = choose_by_prompt(upstreams, make_prompt("long"), NOW)
    for upstream in upstreams:
        upstream.prompts.own = MAX_PREFILL_TOKENS + 10_000
    first.prompts.note_prefilled(["long"])
    assert choose_by_prompt(upstreams, make_prompt("long"), NOW) is first
    other = next(upstream for upstream in upstreams if upstream is not first)
    other.prompts.own -= 12_000
    assert choose_by_prompt(upstreams, make_prompt("long"), NOW) is first, (
        "the other upstream would have to prefill the 13,000 shared tokens"
    )
    other.prompts.own -= 2_000
    assert choose_by_prompt(upstreams, make_prompt("long"), NOW) is other


def disturb(upstream: KnownUpstream) -> None:
    """Record excessive pauses of the streams at an upstream."""
    for _ in range(3):
        upstream.pauses.note(0.4, 0.3, NOW)


def test_a_long_prompt_avoids_upstreams_with_excessive_pauses() -> None:
    upstreams = [make_upstream("u1"), make_upstream("u2"), make_upstream("u3")]
    first = choose_by_prompt(upstreams, make_prompt("long"), NOW)
    disturb(first)
    second = choose_by_prompt(upstreams, make_prompt("long"), NOW)
    assert second is not first
    short = (PromptPart("long", 300), PromptPart("own", 300))
    assert choose_by_prompt(upstreams, short, NOW) is first
    first.prompts.note_prefilled(["long"])
    assert choose_by_prompt(upstreams, make_prompt("long"), NOW) is first


def test_excessive_pauses_at_all_upstreams_do_not_change_the_choice() -> None:
    upstreams = [make_upstream("u1"), make_upstream("u2")]
    first = choose_by_prompt(upstreams, make_prompt("long"), NOW)
    for upstream in upstreams:
        disturb(upstream)
    assert choose_by_prompt(upstreams, make_prompt("long"), NOW) is first
