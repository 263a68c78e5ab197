"""A single attempt to serve a request at one upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay.routing.buffers import MAX_COLLECTED_BYTES, BufferPool, Content
from pondquay.streamevents import StreamOrderError
from pondquay_daemon.relay.bodylimits import (
    MAX_FAILURE_SECONDS,
    MAX_UNUSED_BYTES,
    MAX_UNUSED_SECONDS,
    BodyLimits,
)
from pondquay_daemon.relay.exchanges import Exchange, ExchangeListener
from pondquay_daemon.relay.flowcontrol import FlowListener, ReadingPauses
from pondquay_daemon.relay.heads import (
    drop_connection_headers,
    ends_with_connection,
)
from pondquay_daemon.relay.outcomes import (
    NOT_RUN_STATUSES,
    SUCCESS_STATUSES,
    Answered,
    Lost,
    NotRun,
    PassedOn,
    Stopped,
    Streamed,
    Unsent,
)
from pondquay_daemon.relay.plainresponses import PlainResponse
from pondquay_daemon.relay.responsechecks import is_cut_off, log_mismatch
from pondquay_daemon.relay.silencewatch import SilenceWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay.routing.buffers import Buffer
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.egress import EgressPool
    from pondquay_daemon.relay.errors import BrokenExchangeError
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.messages import (
        HeaderList,
        ResponseHead,
        ResponseMetadata,
    )
    from pondquay_daemon.relay.outcomes import Outcome
    from pondquay_daemon.relay.streamprogress import StreamProgress
    from pondquay_daemon.relay.upstreamlisteners import UpstreamListener


class Attempt(ExchangeListener, FlowListener):
    """Sends a request to one upstream and waits for the outcome.

    A stream is forwarded as it arrives. A plain response is collected, so that the
    request can be sent again if it breaks, and forwarded as it arrives once it is too
    long to be kept. While the caller does not read, the upstream is not read either.

    :param attempt: the caller's identifier of its attempt, which the response must echo
    :param response: the caller's response, to which a stream is forwarded
    :param progress: set for routes whose responses are streams
    :param upstream: observer of the upstream
    :param buffer: accounts for a plain response that is being collected, or for an
        incomplete event
    """

    def __init__(
        self,
        clock: IReactorTime,
        border: Border,
        attempt: str,
        response: CallerResponse,
        progress: StreamProgress | None,
        upstream: UpstreamListener,
        buffer: Buffer | None = None,
    ) -> None:
        self._upstream = upstream
        self._buffer = buffer or BufferPool().open_work()
        self._plain = PlainResponse(response, self._buffer)
        self._clock = clock
        self._border = border
        self._attempt = attempt
        self._response = response
        self._progress = progress
        self._exchange: Exchange | None = None
        self._result: Deferred[Outcome] = Deferred()
        self._head: ResponseHead | None = None
        self._not_run: NotRun | None = None
        self._streaming = False
        self._pauses = ReadingPauses()
        self._first_event_at: float | None = None
        self._silence: SilenceWatch | None = None
        self._on_silent: Callable[[], None] | None = None
        self._is_silent = False
        self._limits: BodyLimits | None = None
        self._is_used = True
        self._may_repeat: Callable[[], bool] | None = None

    def run(
        self,
        pool: EgressPool,
        address: Address,
        request: tuple[bytes, bytes, HeaderList, bytes],
    ) -> Deferred[Outcome]:
        """Send the request.

        :param request: method, target, headers and body
        :returns: fires once, with the outcome
        """
        method, target, headers, body = request
        self._exchange = Exchange(
            self, method, target, headers, body, name=self._attempt
        )
        pool.start(address, self._exchange)
        return self._result

    def watch_silence(self, seconds: float, on_silent: Callable[[], None]) -> None:
        """Report that the upstream sends nothing for some seconds.

        An attempt without a connection ends after this time.

        :param on_silent: called after each such period once the request is sent; may
            end the attempt by ``leave``, otherwise it continues
        """
        self._on_silent = on_silent
        self._silence = SilenceWatch(self._clock, seconds, self._handle_silence)

    def watch_failure(self, may_repeat: Callable[[], bool]) -> None:
        """End the attempt if the upstream responds with a failure that does not end.

        :param may_repeat: called once; returns whether the request may be sent
            elsewhere, otherwise the attempt continues
        """
        self._may_repeat = may_repeat

    def leave(self) -> None:
        """End the attempt, as its upstream is silent."""
        lost = Lost(
            "silent",
            silent=True,
            began=self._head is not None,
            streamed=self._streaming_seconds(),
        )
        self._end(lost, cancel=True)

    def stop(self) -> None:
        """End the attempt immediately."""
        if self._not_run is not None:
            self._end(self._not_run, cancel=True)
            return
        sent = self._exchange is not None and self._exchange.sent
        self._end(Stopped(sent), cancel=True)

    @property
    def silent(self) -> bool:
        """Whether the upstream has sent nothing since its silence was reported."""
        return self._is_silent

    @property
    def began(self) -> bool:
        """Whether the head of a response has arrived."""
        return self._head is not None

    @property
    def passing_on(self) -> bool:
        """Whether a plain response is forwarded as it arrives."""
        return self._plain.forwarding

    @property
    def waits_for_caller(self) -> bool:
        """Whether only the caller delays the end of a plain response."""
        now = self._clock.seconds()
        return self._plain.may_end_late and self._pauses.waits_for_caller(now)

    def on_paused(self) -> None:
        """Stop reading the upstream, as its caller has stopped."""
        self._pauses.begin(self._clock.seconds())
        self._is_silent = False
        if self._exchange is not None:
            self._exchange.pause_reading()

    def on_resumed(self) -> None:
        """Read the upstream again; the pause was not the upstream's."""
        self._pauses.end(self._clock.seconds())
        if self._progress is not None:
            self._progress.restart_pause()
        self._restart_silence()
        if self._exchange is not None:
            self._exchange.resume_reading()

    def on_head(self, head: ResponseHead) -> None:
        """Report the signals of a response, and check that it is valid."""
        self._note_activity()
        metadata = self._border.read_response(head)
        # An upstream may repeat an earlier response late. Even one that promises that
        # nothing ran says nothing about this request unless it names it.
        if metadata.attempt != self._attempt:
            log_mismatch(self._attempt, self._exchange, head, metadata)
            if self._exchange is None or not self._exchange.skip_copy(metadata.attempt):
                self._fail("a response to another request")
            return
        self._report_signals(metadata)
        if metadata.not_run or metadata.misdirected:
            self._not_run = NotRun(head.status, metadata.misdirected)
            if self._exchange is not None:
                self._exchange.note_refused()
            self._ignore_body(self._not_run)
            return
        if head.status in SUCCESS_STATUSES and not metadata.signed:
            self._fail("a success without an upstream's signature")
            return
        self._upstream.on_response()
        self._head = head
        if head.status not in SUCCESS_STATUSES:
            self._begin_failure(head)
        elif self._progress is not None:
            self._streaming = True
            self._response.content = Content.STREAM
            self._follow_caller()

    def _begin_failure(self, head: ResponseHead) -> None:
        """Limit the body of a failure, unless it must be forwarded."""
        is_resumed = self._progress is not None and self._progress.started
        if is_resumed or head.status in NOT_RUN_STATUSES:
            self._ignore_body(Lost("a failure without an end", began=True))
        elif self._may_repeat is not None:
            self._limits = BodyLimits(
                self._clock,
                MAX_COLLECTED_BYTES,
                MAX_FAILURE_SECONDS,
                self._leave_failure,
            )

    def _leave_failure(self) -> None:
        """End the attempt after a failure that is too long, if it may be repeated."""
        if self._may_repeat is not None and self._may_repeat():
            self._fail("a failure without an end")

    def on_body(self, data: bytes) -> None:
        """Forward complete events of a stream, or keep a part of a plain response."""
        self._note_activity()
        if self._limits is not None:
            self._limits.add(data)
        if not self._is_used or self._result.called:
            return
        if not self._streaming:
            self._collect(data)
            return
        progress = self._progress
        if progress is None:
            return
        try:
            events = progress.read(data)
        except StreamOrderError as error:
            self._fail(f"events out of order: {error}")
            return
        if events:
            now = self._clock.seconds()
            pause = progress.note_events(now)
            # A pause that began at another upstream is not reported for this one.
            if pause is not None and self._first_event_at is not None:
                self._upstream.on_pause(pause)
            if self._first_event_at is None:
                self._first_event_at = now
            self._forward(events, progress)
        pending = progress.reader.pending_bytes
        if pending != self._buffer.size and not self._result.called:
            self._buffer.resize(pending)

    def on_end(self) -> None:
        """Finish the attempt when the response has ended."""
        if self._not_run is not None:
            self._end(self._not_run)
            return
        if self._head is None:
            self._end(Lost("a response without a head"))
            return
        if self.passing_on:
            self._end(PassedOn(self._head.status))
            return
        if not self._streaming:
            self._end(Answered(self._head, self._plain.take()))
            return
        progress, is_empty = self._progress, self._first_event_at is None
        if progress is None or is_cut_off(self._head, progress, is_empty=is_empty):
            lost = Lost(
                "a stream that ends without or within an event",
                broken=ends_with_connection(self._head.headers),
                began=True,
                streamed=self._streaming_seconds(),
                unread=self._unread(),
            )
            self._end(lost)
            return
        if not progress.started:
            self._forward(b"", progress)
        self._end(Streamed(progress.reader.count))

    def on_error(self, error: BrokenExchangeError) -> None:
        """Finish the attempt after a failure of the exchange."""
        if not error.sent:
            self._end(Unsent(str(error), error.refused))
        elif self._not_run is not None:
            self._end(self._not_run)
        else:
            lost = Lost(
                str(error),
                broken=True,
                began=self._head is not None,
                streamed=self._streaming_seconds(),
                unread=self._unread(),
                by_gateway=error.by_gateway,
                gateway="" if self._exchange is None else self._exchange.gateway,
            )
            self._end(lost)

    def _report_signals(self, metadata: ResponseMetadata) -> None:
        # If another upstream has the address, the signals are that upstream's.
        if not metadata.misdirected:
            exchange = self._exchange
            tunnelled = exchange is not None and bool(exchange.gateway)
            self._upstream.on_signals(metadata.signals, tunnelled=tunnelled)

    def _streaming_seconds(self) -> float:
        """Return the seconds since the first event, 0 if none has arrived."""
        if self._first_event_at is None:
            return 0.0
        return self._clock.seconds() - self._first_event_at

    def _unread(self) -> bool:
        return self._pauses.was_unread(self._clock.seconds())

    def _collect(self, data: bytes) -> None:
        """Keep a part of a plain response, or forward it if it is too long."""
        head = self._head
        if head is not None and self._plain.add(data):
            self._follow_caller()
            self._plain.forward(head)

    def _ignore_body(self, outcome: Outcome) -> None:
        """Read a body that is not used only within limits.

        :param outcome: the outcome if the body exceeds the limits
        """
        self._is_used = False
        self._limits = BodyLimits(
            self._clock,
            MAX_UNUSED_BYTES,
            MAX_UNUSED_SECONDS,
            lambda: self._end(outcome, cancel=True),
        )

    def _follow_caller(self) -> None:
        """Read the upstream only while the caller reads."""
        self._response.flow = self
        if self._response.paused:
            self.on_paused()

    def _forward(self, events: bytes, progress: StreamProgress) -> None:
        if progress.started:
            self._response.send(events)
            return
        if self._head is None:
            return
        progress.started = True
        headers = drop_connection_headers(self._head.headers)
        self._response.begin(self._head.status, headers, events)

    def _fail(self, reason: str) -> None:
        self._end(Lost(reason, began=self._head is not None), cancel=True)

    def _note_activity(self) -> None:
        self._upstream.on_data()
        self._restart_silence()

    def _restart_silence(self) -> None:
        self._is_silent = False
        if self._silence is not None:
            self._silence.restart()

    def _handle_silence(self) -> bool:
        """Report a silence; return whether the upstream is to be watched on."""
        if self._exchange is not None and not self._exchange.sent:
            # Nothing has run without a connection, so this does not count as one of the
            # route's attempts.
            self._end(Unsent("no connection in time"), cancel=True)
            return False
        # Nothing can be sent elsewhere once a part of a plain response was forwarded.
        may_end = not self.passing_on and self._pauses.paused_at is None
        if may_end and self._on_silent is not None:
            self._is_silent = True
            self._on_silent()
        return not self._result.called

    def _end(self, outcome: Outcome, *, cancel: bool = False) -> None:
        self._is_silent = False
        if self._silence is not None:
            self._silence.stop()
        if self._limits is not None:
            self._limits.stop()
        if cancel and self._exchange is not None:
            self._exchange.cancel()
        if self._progress is not None:
            self._progress.reader.discard_partial()
        self._response.flow = None
        self._plain.discard()
        if not self._result.called:
            self._result.callback(outcome)
