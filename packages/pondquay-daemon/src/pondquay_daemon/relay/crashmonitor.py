"""Finding out under which requests upstreams crash, and refusing such requests.

A connection that breaks does not say whether the upstream has ended or only the
connection. A short while later its address is tried: where nobody listens any more, the
upstream has ended under all requests that broke with it. Where nothing answers at all,
it has if its row goes from the list.
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
    CONNECT_SECONDS,
    MIN_OPEN_SECONDS,
    ConnectionCheck,
    Listening,
)
from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from pondquay.addresses import Address
    from pondquay.routing.crashes import CrashReport
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.metrics import RelayMetrics

# Seconds after which the address is tried. An ending process closes its connections one
# by one, and the port it listens on among them.
CHECK_SECONDS = 0.05
# Seconds for which a row that goes tells that its upstream had ended: three heartbeats
# of 1.2 s without a word, and the time in which the list tells it.
ROW_SECONDS = 8.0
# Longest that a request waits for such a check, in seconds: its pause, and a connection
# that comes at the last moment.
MAX_WAIT_SECONDS = CHECK_SECONDS + CONNECT_SECONDS + MIN_OPEN_SECONDS
# A request whose events have been coming for this long, in seconds, is not what crashed
# its upstream: one that does so does it as it begins to run. So fewer streams are
# refused where upstreams crash of something else.
SUSPECT_STREAM_SECONDS = 1.0
# Lost requests that wait at a time to be explained.
MAX_UNEXPLAINED = 1024
FROM_HERE = "here"
REASON = "upstreams crashed under this request"


@dataclass(slots=True)
class _Broken:
    """An upstream to which connections broke.

    :param since: when the first did, in seconds
    :param contents: requests that were lost
    :param checked: fires once its address was tried
    """

    since: float
    contents: set[bytes] = field(default_factory=set)
    checked: Deferred[None] = field(default_factory=Deferred)


class CrashMonitor:
    """What one instance knows of crashes, and how it learns of them.

    :param instance: its name
    :param domains: returns the domain of each instance that is known
    :param announce: tells peers
    :param keep: has the table keep what is known of a refused content, or drop what is
        refused no longer
    """

    def __init__(
        self,
        reactor: Any,
        instance: str,
        domains: Callable[[], Mapping[str, str]],
        announce: Callable[[Iterable[CrashReport]], None],
        keep: Callable[[CrashReport], None],
        metrics: RelayMetrics,
    ) -> None:
        self._reactor = reactor
        self._instance = instance
        self._domains = domains
        self._announce = announce
        self._keep = keep
        self._metrics = metrics
        self.history = CrashHistory(reactor.seconds, self._is_first)
        self._broken: dict[str, _Broken] = {}

    def note_broken(self, upstream: KnownUpstream, content: bytes) -> None:
        """Learn that a request was lost with its connection.

        What leaves ends at some time, with what still runs there.
        """
        if upstream.leaving or upstream.missing_since is not None:
            return
        name = upstream.name
        broken = self._broken.get(name)
        if broken is None or broken.checked.called:
            self._forget_old()
            contents = set() if broken is None else broken.contents
            broken = _Broken(self._reactor.seconds(), contents)
            self._broken[name] = broken
            address = upstream.record.address
            self._reactor.callLater(CHECK_SECONDS, self._check, name, address)
        if len(broken.contents) < MAX_UNEXPLAINED:
            broken.contents.add(content)

    async def wait_for_check(self, content: bytes) -> None:
        """Wait until it is known whether upstreams crashed that would be one too many.

        To try elsewhere at once costs a caller nothing, but for a content under which
        upstreams crashed before it may cost one more.
        """
        pending = [one for one in self._broken.values() if content in one.contents]
        known = self.history.find(content)
        crashed = 0 if known is None else len(known.crashed - known.cleared)
        if crashed + len(pending) < CRASHES_TO_BLOCK:
            return
        for one in pending:
            await wait_at_most(one.checked, MAX_WAIT_SECONDS, self._reactor, None)

    def note_row_removed(self, upstream: str) -> None:
        """Learn that an upstream's row is gone."""
        broken = self._broken.get(upstream)
        if broken is None:
            return
        if self._reactor.seconds() - broken.since <= ROW_SECONDS:
            self._note_crashed(upstream, "row gone")
        else:
            del self._broken[upstream]

    def note_served(self, content: bytes) -> None:
        """Learn that a request ran to its end."""
        before = self.history.find(content)
        report = self.history.note_served(content)
        if report is None or before is None:
            return
        self._announce([report])
        if before.blocked:
            self._log_decision(report, FROM_HERE)
            self._keep(report)

    def receive(self, report: CrashReport, source: str) -> None:
        """Take in what a peer or the table knows.

        What decides about a content goes on to all peers, since not every two instances
        of a large fleet are linked. Other suspicions do not: with a crash come dozens.
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
        if now.blocked != was_blocked and self._is_first(now.content):
            self._keep(now)

    def check(self, content: bytes) -> Refusal | None:
        """Return the refusal of a request that crashes upstreams, if it is known to."""
        blocked = self.history.check(content)
        if blocked is None:
            return None
        return Refusal(UNAVAILABLE, REASON, blocked.retry_after)

    def start_trial(self, content: bytes) -> bool:
        """Allow a refused request one run, if that is due here."""
        report = self.history.start_trial(content)
        if report is None:
            return False
        log_event("content-tried", content=content.hex(), trials=report.trials)
        self._announce([report])
        self._keep(report)
        return True

    def describe(self) -> list[dict[str, object]]:
        """Return what is refused, for operators."""
        return [
            {
                "content": one.content.hex(),
                "upstreams": sorted(one.crashed - one.cleared),
                "trials": one.trials,
            }
            for one in self.history.blocked()
        ]

    def _check(self, upstream: str, address: Address) -> None:
        ConnectionCheck.start(
            self._reactor, address, lambda shown: self._take_check(upstream, shown)
        )

    def _take_check(self, upstream: str, shown: Listening) -> None:
        self._metrics.broken.labels(shown.value).inc()
        broken = self._broken.get(upstream)
        if broken is None:
            return
        if shown is Listening.NO:
            self._note_crashed(upstream, "nobody listens")
        elif shown is Listening.YES:
            del self._broken[upstream]
        broken.checked.callback(None)

    def _note_crashed(self, upstream: str, why: str) -> None:
        broken = self._broken.pop(upstream, None)
        if broken is None:
            return
        log_event(
            "upstream-crashed",
            Level.WARNING,
            upstream=upstream,
            why=why,
            requests=len(broken.contents),
        )
        noted = [self.history.note_crash(one, upstream) for one in broken.contents]
        reports = [one for one in noted if one is not None]
        self._announce(reports)
        for report in reports:
            if report.blocked:
                self._log_decision(report, FROM_HERE)
                self._keep(report)

    def _log_decision(self, report: CrashReport, source: str) -> None:
        log_event(
            "content-blocked" if report.blocked else "content-cleared",
            Level.WARNING,
            content=report.content.hex(),
            upstreams=",".join(sorted(report.crashed - report.cleared)),
            trials=report.trials,
            source=source,
        )

    def _is_first(self, content: bytes) -> bool:
        """Tell whether this instance is the first of all in the rank of a content."""
        name = content.hex()
        ranked: Iterable[str] = self._domains()
        best = min(ranked, key=lambda one: score_pair(name, one), default="")
        return best == self._instance

    def _forget_old(self) -> None:
        oldest = self._reactor.seconds() - ROW_SECONDS
        for name, broken in list(self._broken.items()):
            if broken.since < oldest:
                del self._broken[name]


class ContentPermit:
    """Whether one request may be sent, as far as its content goes.

    :param owner: workspace of its caller, empty if it has none
    """

    def __init__(
        self, watch: CrashMonitor, owner: str, host: str, head: RequestHead, body: bytes
    ) -> None:
        self._watch = watch
        self._parts = (owner, host, head.target, body)
        self._digest = b""
        self._on_trial = False

    @property
    def content(self) -> bytes:
        """The digest of the content, made when it is first asked for."""
        if not self._digest:
            self._digest = digest_content(*self._parts)
        return self._digest

    def take(self) -> Refusal | None:
        """Return a refusal, unless the request may begin."""
        if self._watch.history.empty:
            return None
        refusal = self._watch.check(self.content)
        if refusal is None:
            return None
        self._on_trial = self._watch.start_trial(self.content)
        return None if self._on_trial else refusal

    def recheck(self, sends: int) -> Refusal | None:
        """Return a refusal, unless the request may be sent once more.

        :param sends: how often it was sent
        """
        if self._watch.history.empty or (self._on_trial and not sends):
            return None
        return self._watch.check(self.content)

    def note_served(self) -> None:
        """Take in that it ran to its end."""
        if not self._watch.history.empty:
            self._watch.note_served(self.content)

    def note_broken(self, upstream: KnownUpstream, streamed: float) -> None:
        """Take in that it was lost with its connection to an upstream.

        :param streamed: seconds for which events had been coming from there
        """
        if streamed < SUSPECT_STREAM_SECONDS:
            self._watch.note_broken(upstream, self.content)

    async def wait_for_check(self) -> None:
        """Wait, if one more upstream may crash under it, until the last is judged."""
        await self._watch.wait_for_check(self.content)
