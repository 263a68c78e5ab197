"""Detection of requests that crash upstreams, and refusal of such requests.

A broken connection does not show whether the upstream crashed. Shortly afterwards its
address is checked. If the connection is refused, the upstream crashed under all
requests that were lost with it. If the check is inconclusive, the upstream counts as
crashed if its row is removed from the list soon after the connection broke.

Each crash is recorded for the contents of the lost requests and for the parts of their
prompts, separately for requests that were about to be written and for those without a
response, which may have been waiting.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondquay.routing.crashes import CRASHES_TO_BLOCK, CrashHistory
from pondquay.routing.partcrashes import PartCrashes
from pondquay.routing.rendezvous import score_pair
from pondquay.routing.waitingparts import WaitingPartCrashes
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.admission import UNAVAILABLE, Refusal
from pondquay_daemon.relay.connectioncheck import (
    MIN_OPEN_SECONDS,
    Listening,
    check_connection,
)
from pondquay_daemon.relay.crashsharing import CrashSharing
from pondquay_daemon.relay.dialing import CONNECT_SECONDS
from pondquay_daemon.relay.partsuspicion import PartSuspicion
from pondquay_daemon.tasks import wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from pondquay.addresses import Address
    from pondquay.routing.crashes import CrashReport
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.crashsharing import Trial
    from pondquay_daemon.relay.dialing import Dialer
    from pondquay_daemon.relay.metrics import RelayMetrics

# Delay before the address is checked, since an exiting process closes its connections
# and its listening port one after another.
CHECK_DELAY_SECONDS = 0.05
# Time after a broken connection in which the removal of the row indicates a crash. It
# covers three missed heartbeats of 1.2 s and the delay of the list.
ROW_REMOVAL_SECONDS = 8.0
# Longest time that a request waits for a check.
MAX_CHECK_WAIT_SECONDS = CHECK_DELAY_SECONDS + CONNECT_SECONDS + MIN_OPEN_SECONDS
# Maximum number of contents of lost requests that are recorded per upstream.
MAX_PENDING_CONTENTS = 1024
# Maximum number of suspected parts of requests without a response that are recorded per
# upstream, as each is reported to all peers.
MAX_WAITING_PARTS = 64
BLOCKED_REASON = "upstreams crashed under this request"
BLOCKED_PART_REASON = "upstreams crashed under a part of this prompt"


@dataclass(slots=True)
class _BrokenUpstream:
    """An upstream whose connections broke or that became unresponsive.

    :param since: time of the first loss since the previous check, in seconds
    :param contents: contents of the requests that were lost
    :param parts: parts of prompts of those that were about to be written
    :param waiting: suspected parts of prompts of those without a response
    :param trials: trials whose requests were lost
    :param checked: fires once the address has been checked
    """

    since: float
    contents: set[bytes] = field(default_factory=set)
    parts: set[bytes] = field(default_factory=set)
    waiting: set[bytes] = field(default_factory=set)
    trials: list[Trial] = field(default_factory=list)
    checked: Deferred[None] = field(default_factory=Deferred)


class RunningRequest(ABC):
    """A running request, which may have to be withdrawn."""

    @abstractmethod
    def recheck(self) -> None:
        """Withdraw the request if it must not run any more."""


class CrashMonitor:
    """Detects crashes of upstreams and shares them with peers and the table.

    :param dialer: opens the connections that check addresses
    :param instance: name of this instance
    :param domains: returns the domain of each known instance, none before their list
        has been read
    :param announce: sends reports on contents to all peers
    :param persist: updates the table's row of a content that is or was blocked
    :param announce_parts: sends reports on parts of prompts to all peers
    :param persist_part: updates the table's row of such a part
    :param announce_waiting: sends reports on parts whose responses had not begun
    :ivar contents: shares the crashes under requests
    :ivar parts: shares the crashes under parts of prompts
    :ivar waiting_parts: shares those under parts whose responses had not begun
    """

    def __init__(
        self,
        reactor: Any,
        dialer: Dialer,
        instance: str,
        domains: Callable[[], Mapping[str, str]],
        announce: Callable[[Iterable[CrashReport]], None],
        persist: Callable[[CrashReport], None],
        announce_parts: Callable[[Iterable[CrashReport]], None],
        persist_part: Callable[[CrashReport], None],
        announce_waiting: Callable[[Iterable[CrashReport]], None],
        metrics: RelayMetrics,
    ) -> None:
        self._reactor = reactor
        self._dialer = dialer
        self._instance = instance
        self._domains = domains
        self._metrics = metrics
        ranks_first = self._ranks_first
        self.history = CrashHistory(reactor.seconds, ranks_first)
        self.contents = CrashSharing(
            "content", self.history, self._stores_row, announce, persist, lambda: None
        )
        begun = PartCrashes(reactor.seconds, ranks_first, self.history)
        self.parts = CrashSharing(
            "part",
            begun.history,
            self._stores_row,
            announce_parts,
            persist_part,
            self._recheck_running,
        )
        self._waiting = WaitingPartCrashes(reactor.seconds, ranks_first, begun)
        self.waiting_parts = CrashSharing(
            "waiting-part",
            self._waiting.history,
            self._stores_row,
            announce_waiting,
            # Weak evidence is not kept beyond the loss of all instances.
            lambda report: None,
            self._recheck_running,
        )
        self._suspicions = (
            PartSuspicion(begun, self.parts),
            PartSuspicion(self._waiting, self.waiting_parts),
        )
        self._running: set[RunningRequest] = set()
        self._broken: dict[str, _BrokenUpstream] = {}

    def add_running(self, request: RunningRequest) -> None:
        """Check a running request again whenever a part is blocked."""
        self._running.add(request)

    def remove_running(self, request: RunningRequest) -> None:
        """Stop checking a request, as it has ended."""
        self._running.discard(request)

    def _recheck_running(self) -> None:
        for request in list(self._running):
            request.recheck()

    def note_broken(
        self,
        upstream: KnownUpstream,
        content: bytes,
        parts: Collection[bytes] = (),
        began: bool = True,
        trial: Trial | None = None,
    ) -> None:
        """Record that a request was lost, so that its upstream is checked for a crash.

        Upstreams that leave or are missing from the list are ignored, since they are
        expected to exit.

        :param parts: shared parts of its prompt
        :param began: whether its response had begun
        :param trial: the trial that it was
        """
        if upstream.leaving or upstream.missing_since is not None:
            return
        name = upstream.name
        broken = self._broken.get(name)
        if broken is None or broken.checked.called:
            self._drop_expired()
            earlier = broken or _BrokenUpstream(0.0)
            broken = _BrokenUpstream(
                self._reactor.seconds(),
                earlier.contents,
                earlier.parts,
                earlier.waiting,
                earlier.trials,
            )
            self._broken[name] = broken
            address = upstream.record.address
            self._reactor.callLater(CHECK_DELAY_SECONDS, self._check, name, address)
        if trial is not None:
            broken.trials.append(trial)
        if len(broken.contents) < MAX_PENDING_CONTENTS:
            broken.contents.add(content)
            if began:
                broken.parts.update(parts)
            else:
                room = MAX_WAITING_PARTS - len(broken.waiting)
                suspects = self._waiting.select_suspects(parts)
                broken.waiting.update(suspects[:room])

    async def wait_for_check(
        self, content: bytes, parts: Collection[bytes] = ()
    ) -> None:
        """Wait for pending checks that may cause the request to be refused.

        Otherwise a retry could crash another upstream before the result is known.
        """
        broken = list(self._broken.values())
        pending = [upstream for upstream in broken if content in upstream.contents]
        awaited = self._list_decisive(self.history, content, pending)
        for part in parts:
            pending = [upstream for upstream in broken if part in upstream.parts]
            awaited += self._list_decisive(self.parts.history, part, pending)
        for upstream in awaited:
            await wait_at_most(
                upstream.checked, MAX_CHECK_WAIT_SECONDS, self._reactor, None
            )

    @staticmethod
    def _list_decisive(
        history: CrashHistory, key: bytes, pending: list[_BrokenUpstream]
    ) -> list[_BrokenUpstream]:
        """Return the upstreams whose checks may cause a key to be blocked."""
        known = history.find(key)
        crashed = 0 if known is None else len(known.uncleared)
        return pending if crashed + len(pending) >= CRASHES_TO_BLOCK else []

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
        if report is not None and before is not None:
            self.contents.share_cleared(report, was_blocked=before.blocked)

    def note_parts_served(self, parts: Collection[bytes]) -> None:
        """Record that a request whose prompt has these parts completed."""
        for suspicion in self._suspicions:
            suspicion.note_served(parts)

    def check(self, content: bytes) -> Refusal | None:
        """Return a refusal if the content is blocked, ``None`` otherwise."""
        blocked = self.history.check(content)
        if blocked is None:
            return None
        return Refusal(UNAVAILABLE, BLOCKED_REASON, blocked.retry_after)

    def check_parts(self, parts: Collection[bytes]) -> Refusal | None:
        """Return a refusal if a part of the prompt is blocked, ``None`` otherwise."""
        for suspicion in self._suspicions:
            blocked = suspicion.crashes.check(parts)
            if blocked is not None:
                return Refusal(UNAVAILABLE, BLOCKED_PART_REASON, blocked.retry_after)
        return None

    def start_trial(
        self, content: bytes, parts: Collection[bytes] = ()
    ) -> Trial | None:
        """Start a trial of a blocked request, and return it if one is due."""
        for suspicion in self._suspicions:
            if suspicion.crashes.check(parts, content) is None:
                continue
            if self.history.check(content) is not None:
                # Another request shows as well whether the part crashes upstreams.
                return None
            return suspicion.start_trial(parts)
        report = self.history.start_trial(content)
        return None if report is None else self.contents.share_trial(report)

    def describe(self) -> list[dict[str, object]]:
        """Return the contents and parts that are blocked, for operators."""
        sharings = (self.contents, self.parts, self.waiting_parts)
        return [entry for sharing in sharings for entry in sharing.describe()]

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
            for trial in broken.trials:
                trial.note_lost()
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
            parts=len(broken.parts),
            waiting_parts=len(broken.waiting),
        )
        self.contents.note_crash(broken.contents, upstream)
        self.parts.note_crash(broken.parts, upstream)
        self.waiting_parts.note_crash(broken.waiting, upstream)

    def _ranks_first(self, content: bytes) -> bool:
        """Return whether rendezvous hashing ranks this instance first for a content.

        None ranks first at an instance that does not know the others yet.
        """
        name = content.hex()
        ranked: Iterable[str] = self._domains()
        best = min(ranked, key=lambda instance: score_pair(name, instance), default="")
        return best == self._instance

    def _stores_row(self, content: bytes) -> bool:
        """Return whether this instance writes the row of a content.

        Several may, so one that does not know the others writes it as well.
        """
        return not self._domains() or self._ranks_first(content)

    def _drop_expired(self) -> None:
        oldest = self._reactor.seconds() - ROW_REMOVAL_SECONDS
        for name, broken in list(self._broken.items()):
            if broken.since < oldest:
                del self._broken[name]
