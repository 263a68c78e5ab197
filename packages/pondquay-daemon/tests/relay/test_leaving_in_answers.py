"""An upstream got requests for seconds after it had said in an answer that it leaves.

Seen: while the table was away for 13 s, two instances passed on an answer of an
upstream that said so, and sent it further requests 4.8 and 8.8 s later.

How it came about: an upstream says that it leaves in its row and in all its answers.
Its row could not be written, so nobody learnt of it before the table was back.

The cause: an answer was taken for the request alone. Whatever it said of its upstream,
but for coldness and another upstream's address, nobody read. Proved here: a relay in
memory, whose table is away, before upstreams of which one says so in its answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .answering import HOSTS, AnsweringUpstreams

if TYPE_CHECKING:
    from .conftest import RelaySide

LEAVING = b"leaving: 1\r\n"
# Seconds: more than any span of the story.
LONG = 9.0


def test_one_that_says_so_in_an_outage_gets_nothing_more(relay: RelaySide) -> None:
    upstreams = AnsweringUpstreams.start(relay)
    relay.store.away = True
    upstreams.says[HOSTS[0]] = LEAVING
    upstreams.ask_for(1.0, relay)
    assert HOSTS[0] in upstreams.hosts_since(0)
    since = upstreams.now
    upstreams.ask_for(LONG, relay)
    assert upstreams.hosts_since(since) == set(HOSTS[1:])
