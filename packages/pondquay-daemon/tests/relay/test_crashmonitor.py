"""Which broken connections count as crashes, and which reports peers receive."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from pondquay.addresses import Address
from pondquay.routing.crashes import (
    CRASHES_TO_BLOCK,
    TRIAL_DELAYS_SECONDS,
    CrashReport,
)
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.upstreamrecords import UpstreamRecord
from pondquay_daemon.relay.connectioncheck import MIN_OPEN_SECONDS
from pondquay_daemon.relay.crashmonitor import (
    CHECK_DELAY_SECONDS,
    MAX_WAITING_PARTS,
    ROW_REMOVAL_SECONDS,
    CrashMonitor,
)
from pondquay_daemon.relay.dialing import DirectDialer
from pondquay_daemon.relay.metrics import RelayMetrics

from .conftest import UpstreamEnd
from .stalledclock import StalledClock

CONTENT = b"c" * 16
PART = b"p" * 16
PEER = "peer"


def make_upstream(name: str = "u1", *, leaving: bool = False) -> KnownUpstream:
    record = UpstreamRecord(name, "judge", Address("10.0.0.1", 80), "a", 4, born=5)
    return KnownUpstream(record, 1, leaving)


class MonitorHarness:
    """A monitor with the reports that it announced and stored."""

    def __init__(self, clock: Any = None) -> None:
        self.clock: Any = clock or MemoryReactorClock()
        self.announced: list[CrashReport] = []
        self.stored: list[CrashReport] = []
        self.announced_parts: list[CrashReport] = []
        self.stored_parts: list[CrashReport] = []
        self.announced_waiting: list[CrashReport] = []
        self.monitor = CrashMonitor(
            self.clock,
            DirectDialer(self.clock),
            "r1",
            lambda: {"r1": "a"},
            self.announced.extend,
            self.stored.append,
            self.announced_parts.extend,
            self.stored_parts.append,
            self.announced_waiting.extend,
            RelayMetrics(Counter()),
        )

    def check(self) -> Any:
        """Start the check of an address and return its client factory."""
        self.clock.advance(CHECK_DELAY_SECONDS)
        return self.clock.tcpClients[-1][2]

    def refuse(self) -> None:
        refused = Failure(ConnectionRefusedError())
        self.check().clientConnectionFailed(None, refused)


@pytest.fixture
def harness() -> MonitorHarness:
    """Return a monitor without reports."""
    return MonitorHarness()


def test_an_upstream_whose_address_refuses_connections_has_crashed(
    harness: MonitorHarness,
) -> None:
    harness.monitor.note_broken(make_upstream(), CONTENT)
    harness.refuse()
    assert harness.announced == [CrashReport(CONTENT, frozenset({"u1@5"}))]


def test_an_upstream_that_accepts_a_connection_has_not_crashed(
    harness: MonitorHarness,
) -> None:
    harness.monitor.note_broken(make_upstream(), CONTENT)
    UpstreamEnd.accept(harness.check())
    harness.clock.advance(MIN_OPEN_SECONDS)
    harness.monitor.note_row_removed("u1@5")
    assert harness.announced == []


def test_after_a_timeout_the_removal_of_the_row_decides(
    harness: MonitorHarness,
) -> None:
    harness.monitor.note_broken(make_upstream(), CONTENT)
    timed_out = Failure(ConnectTimeoutError())
    harness.check().clientConnectionFailed(None, timed_out)
    assert harness.announced == []
    harness.monitor.note_row_removed("u1@5")
    assert [report.crashed for report in harness.announced] == [{"u1@5"}]


def test_a_row_that_is_removed_much_later_is_ignored(harness: MonitorHarness) -> None:
    harness.monitor.note_broken(make_upstream(), CONTENT)
    UpstreamEnd.accept(harness.check()).end()
    harness.clock.advance(ROW_REMOVAL_SECONDS + 1)
    harness.monitor.note_row_removed("u1@5")
    assert harness.announced == []


def test_an_upstream_that_leaves_is_not_checked(harness: MonitorHarness) -> None:
    harness.monitor.note_broken(make_upstream(leaving=True), CONTENT)
    harness.clock.advance(CHECK_DELAY_SECONDS)
    assert harness.clock.tcpClients == []


def test_an_upstream_is_checked_once_for_all_broken_connections(
    harness: MonitorHarness,
) -> None:
    for number in range(50):
        harness.monitor.note_broken(make_upstream(), b"%016d" % number)
    harness.refuse()
    assert len(harness.clock.tcpClients) == 1
    assert len(harness.announced) == 50


def test_only_reports_that_block_or_clear_are_forwarded(
    harness: MonitorHarness,
) -> None:
    names = [f"u{number}" for number in range(CRASHES_TO_BLOCK)]
    for name in names[:-1]:
        harness.monitor.contents.receive(CrashReport(CONTENT, frozenset({name})), PEER)
    assert harness.announced == []
    harness.monitor.contents.receive(CrashReport(CONTENT, frozenset({names[-1]})), PEER)
    blocking = CrashReport(CONTENT, frozenset(names))
    assert harness.announced == harness.stored == [blocking]
    harness.monitor.contents.receive(blocking, PEER)
    assert len(harness.announced) == 1
    harness.monitor.contents.receive(
        CrashReport(CONTENT, frozenset(names), frozenset(names)), PEER
    )
    assert harness.monitor.check(CONTENT) is None
    assert len(harness.announced) == len(harness.stored) == 2


def test_parts_are_reported_apart_from_contents(harness: MonitorHarness) -> None:
    harness.monitor.note_broken(make_upstream(), CONTENT, [PART])
    harness.monitor.note_broken(make_upstream(), b"d" * 16)
    harness.refuse()
    assert {report.content for report in harness.announced} == {CONTENT, b"d" * 16}
    assert harness.announced_parts == [CrashReport(PART, frozenset({"u1@5"}))]


def test_a_request_with_a_blocked_part_is_refused_until_the_part_is_served(
    harness: MonitorHarness,
) -> None:
    names = frozenset(f"u{number}" for number in range(CRASHES_TO_BLOCK))
    harness.monitor.parts.receive(CrashReport(PART, names), PEER)
    assert harness.monitor.check_parts([PART]) is not None
    assert harness.monitor.check(CONTENT) is None
    assert harness.stored_parts == [CrashReport(PART, names)]
    harness.monitor.note_parts_served([PART])
    assert harness.monitor.check_parts([PART]) is None
    assert harness.announced_parts[-1] == harness.stored_parts[-1]
    assert not harness.stored_parts[-1].blocked


def test_a_request_that_is_refused_twice_over_runs_no_trial(
    harness: MonitorHarness,
) -> None:
    names = frozenset(f"u{number}" for number in range(CRASHES_TO_BLOCK))
    harness.monitor.parts.receive(CrashReport(PART, names), PEER)
    others = frozenset(f"v{number}" for number in range(CRASHES_TO_BLOCK))
    harness.monitor.contents.receive(CrashReport(CONTENT, others), PEER)
    harness.clock.advance(TRIAL_DELAYS_SECONDS[0])
    assert not harness.monitor.start_trial(CONTENT, [PART])
    assert harness.monitor.start_trial(b"d" * 16, [PART])
    assert not harness.monitor.start_trial(b"d" * 16, [PART])


# Guards against a crash that causes reports on each of hundreds of parts of a prompt.
def test_reports_on_parts_without_a_response_are_bounded(
    harness: MonitorHarness,
) -> None:
    parts = [b"%016d" % number for number in range(2 * MAX_WAITING_PARTS)]
    harness.monitor.note_broken(make_upstream(), CONTENT, parts, began=False)
    harness.refuse()
    assert len(harness.announced_waiting) == MAX_WAITING_PARTS
    assert harness.announced_parts == []


# Guards against a crash that is not counted, as the close of the check's connection was
# not read before its time ended.
def test_a_close_that_waits_when_a_stall_ends_is_no_proof_of_listening() -> None:
    clock = StalledClock()
    harness = MonitorHarness(clock)
    harness.monitor.note_broken(make_upstream(), CONTENT)
    end = UpstreamEnd.accept(harness.check())
    clock.stall(10 * MIN_OPEN_SECONDS, end.end)
    harness.monitor.note_row_removed("u1@5")
    assert [report.crashed for report in harness.announced] == [{"u1@5"}]
