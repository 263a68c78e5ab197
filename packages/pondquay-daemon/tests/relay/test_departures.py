"""An upstream got requests 17.7 s after its row had gone from the list.

Seen: it left without a word, and its row was deleted while the table was in order. Much
later the only other upstream of the service could no longer renew its row, so that one
went too; then two instances sent requests to the one that had left.

How it came about: whether the list was current was asked of the configuration's feed.
Its age was counted from the start of the last answered poll, so while nothing changed
it ran from 0.9 to 1.8 s and passed the bound of 1.6 s for a moment in every poll. In
these moments upstreams whose rows had gone were candidates, however long ago that was.

The cause: what an instance knew for sure, that a row had gone while the list was being
followed, was weighed anew at each request by a sign of something else, and could be
unlearnt. Proved here: a whole relay on a clock of the test's own, asked without pause.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .conftest import RelaySide

# Seconds, more than any span of the story and than a poll of any table.
LONG = 6.0


def test_one_that_left_without_a_word_gets_nothing_once_the_others_vanish(
    relay: RelaySide,
) -> None:
    relay.store.put_upstream("left", "10.0.0.1:80")
    relay.store.put_upstream("last", "10.0.0.2:80")
    relay.start()
    relay.store.delete_upstream("left")
    relay.run_for(LONG)
    relay.store.delete_upstream("last")
    assert relay.send_requests(LONG) == {"10.0.0.2"}
    assert relay.responses()[-1].startswith(b"HTTP/1.1 503")


def test_those_that_lapsed_in_an_outage_are_tried_until_they_are_back(
    relay: RelaySide,
) -> None:
    relay.store.put_upstream("alive", "10.0.0.1:80")
    relay.start()
    relay.clock.advance(LONG)
    relay.store.unreachable = True
    relay.run_for(LONG)
    relay.store.delete_upstream("alive")
    relay.store.unreachable = False
    called = relay.send_requests(LONG / 6)
    assert called == {"10.0.0.1"}
    relay.store.put_upstream("alive", "10.0.0.1:80")
    assert relay.send_requests(LONG) == {"10.0.0.1"}


def test_an_unknown_route_does_not_seem_old_while_the_table_is_idle(
    relay: RelaySide,
) -> None:
    relay.start()
    relay.send_requests(LONG, path="/unknown/")
    assert {response[9:12] for response in relay.responses()} == {b"404"}
