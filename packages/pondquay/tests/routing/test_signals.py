"""A state machine of signals in responses, and of the incarnations that sent them.

An incarnation that leaves or backs off must get no requests. Its successor under the
same name and address must get some, once it has written its row.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.addresses import Address
from pondquay.routing.directory import UpstreamDirectory
from pondquay.routing.upstreamrecords import UpstreamRecord

if TYPE_CHECKING:
    from pondquay.routing.knownupstreams import KnownUpstream

NAME = "u1"
# Time within which a connection is established or fails.
CONNECT_SECONDS = 0.5


@dataclass
class Incarnation:
    """The actual state of one incarnation.

    :param backoff_until: end of the back-off that it requested, in seconds
    :param announced_leaving: whether a response announced that it leaves
    """

    born: int
    leaving: bool = False
    backoff_until: float = 0.0
    announced_leaving: bool = False


@dataclass
class Request:
    """A request in transit.

    :param incarnation: the incarnation that ran when the request was sent
    """

    upstream: KnownUpstream
    incarnation: Incarnation
    sent_at: float

    def deliver(
        self, incarnation: Incarnation, now: float
    ) -> tuple[Incarnation, float]:
        """Return the incarnation that gets the request, and the latest delivery time.

        :param incarnation: the incarnation to which the connection is established if
            that happens only now
        """
        until = self.sent_at + CONNECT_SECONDS
        return (incarnation, now) if now <= until else (self.incarnation, until)


class SignalMachine(RuleBasedStateMachine):
    """One upstream in many incarnations, its row, and one instance.

    :ivar confirmed_born: start time of an incarnation whose row is known to have been
        written after the last signal, ``None`` if there is none
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.read_at = self.now
        self.directory = UpstreamDirectory(lambda: self.now, lambda: self.read_at)
        self.directory.note_synced()
        self.version = 0
        self.incarnation = Incarnation(0)
        self.row = self.make_record()
        self.signalled_at = 0.0
        self.read_version = -1
        self.confirmed_born: int | None = None
        self.in_transit: list[Request] = []
        self.read_list()

    def make_record(self) -> UpstreamRecord:
        incarnation = self.incarnation
        address = Address("10.0.0.1", 80)
        return UpstreamRecord(
            NAME, "judge", address, "a", 4, incarnation.leaving, born=incarnation.born
        )

    @rule()
    def write_row(self) -> None:
        """Write the row, as at the start and with each heartbeat."""
        self.version += 1
        self.row = self.make_record()

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def read_list(self) -> None:
        """Read the list as it is now.

        If the previous read was after the last signal, a row that is new since then was
        written after that signal.
        """
        is_new = self.version > self.read_version
        if is_new and self.read_at >= self.signalled_at:
            self.confirmed_born = self.row.born
        self.directory.put(self.row, self.version)
        self.read_at = self.now
        self.read_version = self.version

    @rule()
    def write_and_read(self) -> None:
        self.write_row()
        self.read_list()

    @rule(writes=st.booleans())
    def restart(self, writes: bool) -> None:
        self.now += 0.1
        self.incarnation = Incarnation(self.incarnation.born + 1)
        if writes:
            self.write_row()

    @rule()
    def start_leaving(self) -> None:
        """Leave; the next row that is written announces it."""
        self.incarnation.leaving = True

    @rule()
    def send(self) -> None:
        known = self.directory.find_listed(NAME)
        if known is None or known.has_departed(self.now) or known.in_backoff(self.now):
            return
        self.now += 0.01
        self.in_transit.append(Request(known, self.incarnation, self.now))

    @rule(
        index=st.integers(0, 2),
        is_late=st.booleans(),
        backoff=st.sampled_from([0.0, 3.0]),
        leaves=st.booleans(),
    )
    def respond(self, index: int, is_late: bool, backoff: float, leaves: bool) -> None:
        """Respond to a request.

        :param is_late: whether the connection was established late, so that the request
            may reach the incarnation that runs now
        """
        if not 0 <= index < len(self.in_transit):
            return
        request = self.in_transit.pop(index)
        self.now += 0.01
        incarnation, delivered_at = request.deliver(
            self.incarnation if is_late else request.incarnation, self.now
        )
        incarnation.leaving = incarnation.leaving or leaves
        if backoff:
            incarnation.backoff_until = max(
                incarnation.backoff_until, self.now + backoff
            )
            self.directory.note_backoff(request.upstream, backoff, delivered_at)
        if incarnation.leaving:
            incarnation.announced_leaving = True
            self.directory.note_announced_leaving(request.upstream, delivered_at)
        if backoff or incarnation.leaving:
            self.signalled_at = self.now
            self.confirmed_born = None

    @rule(backoff=st.sampled_from([0.0, 3.0]), leaves=st.booleans())
    def send_and_respond(self, backoff: float, leaves: bool) -> None:
        """Send a request and respond to it at once."""
        self.send()
        self.respond(len(self.in_transit) - 1, False, backoff, leaves)

    @invariant()
    def signals_are_respected(self) -> None:
        known = self.directory.find_listed(NAME)
        if known is None or known.has_departed(self.now):
            return
        # A later incarnation cannot be known before it has written its row.
        assert not self.incarnation.announced_leaving
        assert known.in_backoff(self.now) or self.now >= self.incarnation.backoff_until

    @invariant()
    def an_incarnation_without_signals_gets_requests(self) -> None:
        known = self.directory.find_listed(NAME)
        if known is None or known.record.born != self.incarnation.born:
            return
        if self.incarnation.leaving or self.incarnation.backoff_until:
            return
        if known.record.born == self.confirmed_born:
            assert not known.has_departed(self.now)


TestSignals = SignalMachine.TestCase
TestSignals.settings = settings(max_examples=500, stateful_step_count=40)


def make_directory(now: list[float], read_at: list[float]) -> UpstreamDirectory:
    directory = UpstreamDirectory(lambda: now[0], lambda: read_at[0])
    directory.note_synced()
    return directory


def make_row(born: int) -> UpstreamRecord:
    return UpstreamRecord(NAME, "judge", Address("10.0.0.1", 80), "a", 4, born=born)


def test_an_incarnation_that_has_written_its_row_may_announce_that_it_leaves() -> None:
    """The response is to a request that was sent to the previous incarnation."""
    now, read_at = [100.0], [100.0]
    directory = make_directory(now, read_at)
    directory.put(make_row(0), 1)
    before = directory.find_listed(NAME)
    assert before is not None
    read_at[0] = 102.0
    directory.put(make_row(1), 2)
    now[0] = 103.0
    directory.note_announced_leaving(before, 101.0)
    assert directory.candidates("judge") == []
    read_at[0] = 103.5
    directory.put(make_row(1), 3)
    assert [upstream.name for upstream in directory.candidates("judge")] == ["u1@1"]


def test_a_connection_may_be_established_after_an_incarnation_wrote_its_row() -> None:
    """The previous incarnation also wrote its row after the request was sent."""
    now, read_at = [100.0], [100.0]
    directory = make_directory(now, read_at)
    directory.put(make_row(0), 1)
    before = directory.find_listed(NAME)
    assert before is not None
    # The request is sent at 100.1, and the row is written at 100.2.
    read_at[0] = 100.1
    directory.put(make_row(0), 2)
    directory.put(make_row(1), 3)
    now[0] = 100.4
    directory.note_backoff(before, 3.0, delivered_at=100.4)
    after = directory.find_listed(NAME)
    assert after is not None
    assert after.in_backoff(103.3)
