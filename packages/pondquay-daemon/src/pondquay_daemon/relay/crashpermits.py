"""Permits to send requests, of which some crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

from pondquay.requests.contents import digest_content, digest_part
from pondquay.routing.prompts import list_shared
from pondquay_daemon.relay.crashmonitor import RunningRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission, Refusal
    from pondquay_daemon.relay.crashmonitor import CrashMonitor
    from pondquay_daemon.relay.crashsharing import Trial
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.outcomes import Lost

# Requests that have streamed events for this long are not suspected, since a request
# that crashes its upstream does so when it begins to run. So fewer streams are refused
# when upstreams crash for other reasons.
SUSPECT_STREAM_SECONDS = 1.0


class CrashPermit(RunningRequest):
    """Checks whether a request may be sent, as upstreams may crash under it.

    It is a context manager, within which the request runs. A trial that ends without a
    run, as when no upstream is left, is given back.

    :param on_refused: called once a part of its prompt is blocked while it runs
    """

    def __init__(
        self,
        monitor: CrashMonitor,
        admission: Admission,
        head: RequestHead,
        body: bytes,
        on_refused: Callable[[Refusal], None],
    ) -> None:
        self._on_refused = on_refused
        self._monitor = monitor
        self._admission = admission
        self._head = head
        self._body = body
        self._digest = b""
        self._trial: Trial | None = None
        self._may_have_run = False
        self._parts = tuple(
            digest_part(admission.service, name)
            for name in list_shared(admission.metadata.prefix)
        )

    def __enter__(self) -> Self:
        self._monitor.add_running(self)
        return self

    def __exit__(self, kind: type[BaseException] | None, *_: object) -> None:
        self._monitor.remove_running(self)
        # After an unexpected exception it is not known whether the request ran.
        if self._trial is not None and kind is None and not self._may_have_run:
            self._trial.give_back()

    @property
    def content(self) -> bytes:
        """The digest of the content, computed on first use."""
        if not self._digest:
            workspace = self._admission.workspace
            owner = "" if workspace is None else workspace.name
            host, target = self._admission.route.host, self._head.target
            self._digest = digest_content(owner, host, target, self._body)
        return self._digest

    def take(self) -> Refusal | None:
        """Return a refusal if the request must not start, ``None`` otherwise."""
        refusal = self._check()
        if refusal is None:
            return None
        self._trial = self._monitor.start_trial(self.content, self._parts)
        return refusal if self._trial is None else None

    def check_send(self) -> Refusal | None:
        """Return a refusal if the request must not be sent, ``None`` otherwise.

        The first run of a trial is always permitted.
        """
        if self._trial is not None and not self._may_have_run:
            return None
        return self._check()

    def may_run_again(self) -> bool:
        """Return whether the request may be sent again after the run in progress.

        A trial has only one run.
        """
        return self._check() is None

    def recheck(self) -> None:
        """Report that the request must not run any more, unless it is a trial.

        A content that is blocked may run on, as its completion clears it.
        """
        if self._trial is not None:
            return
        refusal = self._monitor.check_parts(self._parts)
        if refusal is not None:
            self._on_refused(refusal)

    def note_run(self) -> None:
        """Record that the request may have run at an upstream."""
        self._may_have_run = True

    def note_served(self) -> None:
        """Record that the request completed."""
        self._monitor.note_parts_served(self._parts)
        if not self._monitor.history.empty:
            self._monitor.note_served(self.content)

    def note_lost(self, upstream: KnownUpstream, lost: Lost) -> None:
        """Record that the request was lost, as its upstream may have crashed.

        Its connection broke, or the upstream became unresponsive.
        """
        if lost.streamed >= SUSPECT_STREAM_SECONDS:
            return
        self._monitor.note_broken(
            upstream, self.content, self._parts, lost.began, self._trial
        )

    async def wait_for_check(self) -> None:
        """Wait for pending checks that may cause the request to be refused."""
        await self._monitor.wait_for_check(self.content, self._parts)

    def _check(self) -> Refusal | None:
        refusal = self._monitor.check_parts(self._parts)
        if refusal is None and not self._monitor.history.empty:
            refusal = self._monitor.check(self.content)
        return refusal
