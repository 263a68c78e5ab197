from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.addresses import Address
from pondquay.routing.activity import Activity, scale_heard
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.upstreamrecords import UpstreamRecord

counts = st.integers(0, 20)
reports = st.lists(
    st.one_of(
        st.tuples(st.sampled_from("abc"), counts, counts),
        st.tuples(st.sampled_from("abc")),
    )
)


@given(reports)
def test_the_sums_are_those_of_each_peers_last_report(
    events: list[tuple[str] | tuple[str, int, int]],
) -> None:
    activity = Activity()
    running: Counter[str] = Counter()
    tokens: Counter[str] = Counter()
    for event in events:
        if len(event) == 1:
            activity.forget(event[0])
            running[event[0]] = tokens[event[0]] = 0
        else:
            activity.receive(*event)
            running[event[0]], tokens[event[0]] = event[1:]
        assert activity.heard_running == running.total()
        assert activity.heard_tokens == tokens.total()


def test_the_activity_of_an_unreachable_peer_is_dropped_everywhere() -> None:
    directory = UpstreamDirectory(lambda: 0.0)
    for name in ("u1", "u2"):
        directory.put(UpstreamRecord(name, "judge", Address("10.0.0.1", 80), "a", 6), 1)
    for upstream in directory.all():
        upstream.activity.receive("peer", 3, 900)
        upstream.activity.receive("other", 1, 100)
    directory.forget_activity("peer")
    assert [upstream.activity.heard_running for upstream in directory.all()] == [1, 1]


@pytest.mark.parametrize(
    ("instances", "heard", "scale"),
    [(74, 24, 73 / 24), (3, 2, 1), (3, 5, 1), (9, 0, 0)],
)
def test_the_heard_peers_stand_for_all(
    instances: int, heard: int, scale: float
) -> None:
    assert scale_heard(instances, heard) == scale
