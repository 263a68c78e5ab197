from __future__ import annotations

from pondquay.routing.upstreams import LoadReport, Upstream


def make_upstream() -> Upstream:
    return Upstream("e1", "engine", "a", "http://10.0.0.1", "")


def test_the_longest_backoff_holds() -> None:
    upstream = make_upstream()
    upstream.note_backoff(3.0, 10.0)
    upstream.note_backoff(1.0, 10.5)
    assert upstream.backoff_until == 13.0


def test_a_new_life_has_asked_for_nothing() -> None:
    upstream = make_upstream()
    upstream.apply_report(LoadReport(0, 1, 10.0, boot="one"))
    upstream.note_backoff(3.0, 10.0)
    upstream.apply_report(LoadReport(0, 1, 10.5, boot="one"))
    assert upstream.backoff_until == 13.0
    upstream.apply_report(LoadReport(0, 1, 11.0, boot="two"))
    assert upstream.backoff_until == 0.0
