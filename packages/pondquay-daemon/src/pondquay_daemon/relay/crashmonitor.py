"""Detection of requests that crash upstreams, and refusal of such requests.

A broken connection does not show whether the upstream crashed. Shortly afterwards its
address is checked. If the connection is refused, the upstream crashed under all
requests that were lost with it. If the check is inconclusive, the upstream counts as
crashed if its row is removed from the list soon after the connection broke.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondquay.requests.contents import digest_content
from pondquay.routing.crashes import CRASHES_TO_BLOCK, CrashHistory
from pondquay.routing.rendezvous import score_pair
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.admission import UNAVAILABLE, Refusal
from pondquay_daemon.relay.connectioncheck import (
    MIN_OPEN_SECONDS,
    Listening,
    check_connection,
)
from pondquay_daemon.relay.dialing import CONNECT_SECONDS
from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from pondquay.addresses import Address
    from pondquay.routing.crashes import CrashReport
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.dialing import Dialer
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.metrics import RelayMetrics

# Delay before the address is checked, since an exiting process closes its connections
# and its listening port one after another.
CHECK_DELAY_SECONDS = 0.05
# Time after a broken connection in which the removal of the row indicates a crash. It
# covers three missed heartbeats of 1.2 s and the delay of the list.
ROW_REMOVAL_SECONDS = 8.0
# Longest time that a request waits for a check.
MAX_CHECK_WAIT_SECONDS = CHECK_DELAY_SECONDS + CONNECT_SECONDS + MIN_OPEN_SECONDS
# Requests that have streamed events for this long are not suspected, since a request
# that crashes its upstream does so when it begins to run. So fewer streams are refused
# when upstreams crash for other reasons.
SUSPECT_STREAM_SECONDS = 1.0
# Maximum number of contents of lost requests that are recorded per upstream.
MAX_PENDING_CONTENTS = 1024
OWN_SOURCE = "here"
BLOCKED_REASON = "upstreams crashed under this request"


@dataclass(slots=True)
class _BrokenUpstream:
    """An upstream whose connections broke or that became unresponsive.

    :param since: time of the first loss since the previous check, in seconds
    :param contents: contents of the requests that were lost
    :param checked: fires once the address has been checked
    """

    since: float
    contents: set[bytes] = field(default_factory=set)
    checked: Deferred[None] = field(default_factory=Deferred)


class CrashMonitor:
    """Detects crashes of upstreams and shares them with peers and the table.

    :param dialer: opens the connections that check addresses
    :param instance: name of this instance
    :param domains: returns the domain of each known instance
    :param announce: sends reports to all peers
    :param persist: updates the table's row of a content that is or was blocked
    """

    def __init__(
        self,
        reactor: Any,
        dialer: Dialer,
        instance: str,
        domains: Callable[[], Mapping[str, str]],
        announce: Callable[[Iterable[CrashReport]], None],
        persist: Callable[[CrashReport], None],
        metrics: RelayMetrics,
    ) -> None:
        self._reactor = reactor
        self._dialer = dialer
        self._instance = instance
        self._domains = domains
        self._announce = announce
        self._persist = persist
        self._metrics = metrics
        self.history = CrashHistory(reactor.seconds, self._ranks_first)
        self._broken: dict[str, _BrokenUpstream] = {}

    def note_broken(self, upstream: KnownUpstream, content: bytes) -> None:
        """Record that a request was lost, so that its upstream is checked for a crash.

        Upstreams that leave or are missing from the list are ignored, since they are
        expected to exit.
        """
        if upstream.leaving or upstream.missing_since is not None:
            return
        name = upstream.name
        broken = self._broken.get(name)
        if broken is None or broken.checked.called:
            self._drop_expired()
            contents = set() if broken is None else broken.contents
            broken = _BrokenUpstream(self._reactor.seconds(), contents)
            self._broken[name] = broken
            address = upstream.record.address
            self._reactor.callLater(CHECK_DELAY_SECONDS, self._check, name, address)
        if len(broken.contents) < MAX_PENDING_CONTENTS:
            broken.contents.add(content)

    async def wait_for_check(self, content: bytes) -> None:
        """Wait for pending checks that may cause the content to be blocked.

        Otherwise a retry could crash another upstream before the result is known.
        """
        pending = [
            broken for broken in self._broken.values() if content in broken.contents
        ]
        known = self.history.find(content)
        crashed = 0 if known is None else len(known.crashed - known.cleared)
        if crashed + len(pending) < CRASHES_TO_BLOCK:
            return
        for broken in pending:
            await wait_at_most(
                broken.checked, MAX_CHECK_WAIT_SECONDS, self._reactor, None
            )

    def note_row_removed(self, upstream: str) -> None:
        """Record that an upstream's row was removed from the list."""
        broken = self._broken.get(upstream)
        if broken is None:
            return
        if self._reactor.seconds() - broken.since <= ROW_REMOVAL_SECONDS:
            self._note_crashed(upstream, "row removed")
        else:
            del self._broken[upstream]

    def note_served(self, content: bytes) -> None:
        """Record that a request with this content completed."""
        before = self.history.find(content)
        report = self.history.note_served(content)
        if report is None or before is None:
            return
        self._announce([report])
        if before.blocked:
            self._log_decision(report, OWN_SOURCE)
            self._persist(report)

    def receive(self, report: CrashReport, source: str) -> None:
        """Merge a report from a peer or the table.

        Changes to contents that are or were blocked are forwarded to all peers, since
        not all instances of a large fleet are linked. Other reports are not forwarded,
        since each crash causes dozens of them.
        """
        before = self.history.find(report.content)
        if not self.history.receive(report):
            return
        now = self.history.find(report.content)
        if now is None:
            return
        was_blocked = before is not None and before.blocked
        if now.blocked or was_blocked:
            self._announce([now])
        if now.blocked != was_blocked:
            self._log_decision(now, source)
        if now.blocked != was_blocked and self._ranks_first(now.content):
            self._persist(now)

    def check(self, content: bytes) -> Refusal | None:
        """Return a refusal if the content is blocked, ``None`` otherwise."""
        blocked = self.history.check(content)
        if blocked is None:
            return None
        return Refusal(UNAVAILABLE, BLOCKED_REASON, blocked.retry_after)

    def start_trial(self, content: bytes) -> bool:
        """Start a trial of a blocked content if one is due; return whether it was."""
        report = self.history.start_trial(content)
        if report is None:
            return False
        log_event("content-tried", content=content.hex(), trials=report.trials)
        self._announce([report])
        self._persist(report)
        return True

    def describe(self) -> list[dict[str, object]]:
        """Return the contents that are blocked, for operators."""
        return [
            {
                "content": report.content.hex(),
                "upstreams": sorted(report.crashed - report.cleared),
                "trials": report.trials,
            }
            for report in self.history.blocked()
        ]

    def _check(self, upstream: str, address: Address) -> None:
        check_connection(
            self._reactor,
            self._dialer,
            address,
            lambda result: self._receive_check_result(upstream, result),
        )

    def _receive_check_result(self, upstream: str, result: Listening) -> None:
        self._metrics.broken.labels(result.value).inc()
        broken = self._broken.get(upstream)
        if broken is None:
            return
        if result is Listening.NO:
            self._note_crashed(upstream, "connection refused")
        elif result is Listening.YES:
            del self._broken[upstream]
        broken.checked.callback(None)

    def _note_crashed(self, upstream: str, reason: str) -> None:
        broken = self._broken.pop(upstream, None)
        if broken is None:
            return
        log_event(
            "upstream-crashed",
            Level.WARNING,
            upstream=upstream,
            why=reason,
            requests=len(broken.contents),
        )
        noted = [
            self.history.note_crash(content, upstream) for content in broken.contents
        ]
        reports = [update for update in noted if update is not None]
        self._announce(reports)
        for report in reports:
            if report.blocked:
                self._log_decision(report, OWN_SOURCE)
                self._persist(report)

    def _log_decision(self, report: CrashReport, source: str) -> None:
        log_event(
            "content-blocked" if report.blocked else "content-cleared",
            Level.WARNING,
            content=report.content.hex(),
            upstreams=",".join(sorted(report.crashed - report.cleared)),
            trials=report.trials,
            source=source,
        )

    def _ranks_first(self, content: bytes) -> bool:
        """Return whether rendezvous hashing ranks this instance first for a content."""
        name = content.hex()
        ranked: Iterable[str] = self._domains()
        best = min(ranked, key=lambda instance: score_pair(name, instance), default="")
        return best == self._instance

    def _drop_expired(self) -> None:
        oldest = self._reactor.seconds() - ROW_REMOVAL_SECONDS
        for name, broken in list(self._broken.items()):
            if broken.since < oldest:
                del self._broken[name]


class ContentPermit:
    """Checks whether a request may be sent, as upstreams may crash under its content.

    :param owner: workspace of the caller, empty if there is none
    """

    def __init__(
        self,
        monitor: CrashMonitor,
        owner: str,
        host: str,
        head: RequestHead,
        body: bytes,
    ) -> None:
        self._monitor = monitor
        self._parts = (owner, host, head.target, body)
        self._digest = b""
        self._on_trial = False

    @property
    def content(self) -> bytes:
        """The digest of the content, computed on first use."""
        if not self._digest:
            self._digest = digest_content(*self._parts)
        return self._digest

    def take(self) -> Refusal | None:
        """Return a refusal if the request must not start, ``None`` otherwise."""
        if self._monitor.history.empty:
            return None
        refusal = self._monitor.check(self.content)
        if refusal is None:
            return None
        self._on_trial = self._monitor.start_trial(self.content)
        return None if self._on_trial else refusal

    def recheck(self, sends: int) -> Refusal | None:
        """Return a refusal if the request must not be sent, ``None`` otherwise.

        The first send of a trial is always permitted.

        :param sends: number of times that it has been sent
        """
        if self._monitor.history.empty or (self._on_trial and not sends):
            return None
        return self._monitor.check(self.content)

    def note_served(self) -> None:
        """Record that the request completed."""
        if not self._monitor.history.empty:
            self._monitor.note_served(self.content)

    def note_broken(self, upstream: KnownUpstream, streamed: float) -> None:
        """Record that the request was lost, as its upstream may have crashed.

        Its connection broke, or the upstream became unresponsive.

        :param streamed: seconds for which the upstream had streamed events
        """
        if streamed < SUSPECT_STREAM_SECONDS:
            self._monitor.note_broken(upstream, self.content)

    async def wait_for_check(self) -> None:
        """Wait for pending checks that may cause the request to be refused."""
        await self._monitor.wait_for_check(self.content)
