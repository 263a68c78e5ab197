"""Upstreams that had asked an instance for rest got up to ten requests from it.

Seen: two of six upstreams turned away all that they got for 9 s, and asked with each
answer for 3 s without a request. 59 sends went there, and 19 callers were refused since
no further tries were left.

How it came about: an upstream that has turned everything away runs nothing of an
instance, so the choice by load takes it first.

The cause: an answer was taken for the request alone, as in
``test_leaving_in_answers.py``; what it asked for was not read. Proved here: a relay in
memory before six upstreams of which two turn away and ask.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .answering import HOSTS, AnsweringUpstreams

if TYPE_CHECKING:
    from .conftest import RelaySide

FULL = HOSTS[:2]
REST_SECONDS = 3.0
REST = b"rest: 3\r\n"


def turn_away(upstreams: AnsweringUpstreams, *hosts: str) -> None:
    """Have upstreams turn away and ask for rest."""
    upstreams.full.update(hosts)
    for host in hosts:
        upstreams.says[host] = REST


def test_one_that_asks_for_rest_gets_nothing_in_that_time(relay: RelaySide) -> None:
    upstreams = AnsweringUpstreams.start(relay)
    turn_away(upstreams, *FULL)
    upstreams.ask_for(0.5, relay)
    assert set(FULL) <= upstreams.hosts_since(0)
    since = upstreams.now
    upstreams.ask_for(REST_SECONDS - 1.0, relay)
    assert upstreams.hosts_since(since) == set(HOSTS[2:])
    assert all(one.startswith(b"HTTP/1.1 200") for one in relay.answers()[:-1])
