"""One sending of a request to one upstream, and what came of it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from twisted.internet.defer import Deferred

from pondquay.streamevents import EventReader, StreamOrderError
from pondquay_daemon.relay.egress import Exchange, ExchangeListener
from pondquay_daemon.relay.heads import drop_connection_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall, IReactorTime

    from pondquay.addresses import Address
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.egress import EgressPool
    from pondquay_daemon.relay.errors import BrokenExchangeError
    from pondquay_daemon.relay.ingress import CallerResponse
    from pondquay_daemon.relay.messages import (
        HeaderList,
        ResponseHead,
        ResponseMetadata,
        UpstreamSignals,
    )

SUCCESS = range(200, 300)
# Statuses by which a caller is promised that its request has not run. An upstream's
# own do not say so without its mark.
PROMISES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Unsent:
    """No byte of the request left this instance.

    :param refused: whether the upstream's host was there and said that nobody listens
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream turned the request away.

    :param misdirected: another upstream has the address now
    """

    status: int
    misdirected: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's whole answer, which has not been passed on."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Streamed:
    """A whole stream, which has been passed on."""

    events: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run; its answer is not whole.

    :param silent: the upstream said nothing for too long and was given up
    :param broken: its connection broke
    :param streamed: seconds for which events had been coming, 0 if none came
    """

    reason: str
    silent: bool = False
    broken: bool = False
    streamed: float = 0.0


@dataclass(frozen=True, slots=True)
class Stopped:
    """This instance ended the attempt: the caller has gone, or the time is up."""

    sent: bool


Outcome: TypeAlias = Unsent | NotRun | Answered | Streamed | Lost | Stopped


@dataclass(slots=True)
class StreamProgress:
    """What a caller has got of a stream, over all attempts.

    :ivar longest_pause: seconds between two events, the most so far
    """

    reader: EventReader
    started: bool = False
    longest_pause: float = 0.0
    _last_event: float | None = None

    def note_events(self, now: float) -> float | None:
        """Note that events came.

        :returns: seconds since those before, ``None`` if these are the first
        """
        before, self._last_event = self._last_event, now
        if before is None:
            return None
        pause = now - before
        self.longest_pause = max(self.longest_pause, pause)
        return pause


class UpstreamListener(ABC):
    """What is told of an upstream while an attempt is under way there."""

    @abstractmethod
    def on_data(self) -> None:
        """Learn that something came from it."""

    @abstractmethod
    def on_response(self) -> None:
        """Learn that it answers the request, so that it has read its prompt."""

    @abstractmethod
    def on_pause(self, seconds: float) -> None:
        """Learn how long two events of the attempt lay apart."""

    @abstractmethod
    def on_signals(self, signals: UpstreamSignals) -> None:
        """Learn what its answer says of it; only this upstream can have said it."""


class Attempt(ExchangeListener):
    """Sends a request to one upstream and waits for what comes of it.

    :param attempt: the caller's name for its try, which the answer must echo
    :param progress: set for routes whose answers are streams
    """

    def __init__(
        self,
        clock: IReactorTime,
        border: Border,
        attempt: str,
        response: CallerResponse,
        progress: StreamProgress | None,
        upstream: UpstreamListener,
    ) -> None:
        self._upstream = upstream
        self._clock = clock
        self._border = border
        self._attempt = attempt
        self._response = response
        self._progress = progress
        self._exchange: Exchange | None = None
        self._result: Deferred[Outcome] = Deferred()
        self._head: ResponseHead | None = None
        self._not_run: NotRun | None = None
        self._body: list[bytes] = []
        self._streaming = False
        self._first_event: float | None = None
        self._events_before = 0
        self._watch: IDelayedCall | None = None
        self._judging = False
        self._patience = 0.0
        self._may_leave: Callable[[], bool] | None = None

    def run(
        self,
        pool: EgressPool,
        address: Address,
        request: tuple[bytes, bytes, HeaderList, bytes],
    ) -> Deferred[Outcome]:
        """Send the request; the deferred fires once."""
        if self._progress is not None:
            self._events_before = self._progress.reader.count
        method, target, headers, body = request
        self._exchange = Exchange(self, method, target, headers, body)
        pool.start(address, self._exchange)
        return self._result

    def give_up_after(self, seconds: float, may_leave: Callable[[], bool]) -> None:
        """Give the upstream up once it was silent for some seconds.

        :param may_leave: asked at that moment whether the request may go elsewhere
        """
        self._patience = seconds
        self._may_leave = may_leave
        self._watch = self._clock.callLater(seconds, self._notice_silence)

    def stop(self) -> None:
        """End the attempt at once."""
        sent = self._exchange is not None and self._exchange.sent
        self._end(Stopped(sent), cancel=True)

    def on_head(self, head: ResponseHead) -> None:
        """Judge the head of the answer."""
        self._touch()
        metadata = self._border.read_response(head)
        if metadata.not_run or metadata.attempt == self._attempt:
            self._take_signals(metadata)
        if metadata.not_run or metadata.misdirected:
            self._not_run = NotRun(head.status, metadata.misdirected)
            return
        if metadata.attempt != self._attempt:
            self._lose("an answer to another request")
            return
        if head.status in SUCCESS and not metadata.signed:
            self._lose("a success that no upstream vouches for")
            return
        self._upstream.on_response()
        self._head = head
        self._streaming = self._progress is not None and head.status in SUCCESS

    def on_body(self, data: bytes) -> None:
        """Pass whole events on, or keep a piece of a plain answer."""
        self._touch()
        if not self._streaming:
            self._body.append(data)
            return
        progress = self._progress
        if progress is None:
            return
        try:
            whole = progress.reader.feed(data)
        except StreamOrderError as error:
            self._lose(f"events out of order: {error}")
            return
        if whole:
            now = self._clock.seconds()
            pause = progress.note_events(now)
            # A pause that began at another upstream says nothing of this one.
            if pause is not None and self._first_event is not None:
                self._upstream.on_pause(pause)
            if self._first_event is None:
                self._first_event = now
            self._pass_on(whole, progress)

    def on_end(self) -> None:
        """Learn that the answer is whole."""
        if self._not_run is not None:
            self._end(self._not_run)
            return
        if self._head is None:
            self._end(Lost("an answer without a head"))
            return
        if not self._streaming:
            self._end(Answered(self._head, b"".join(self._body)))
            return
        progress = self._progress
        if progress is None or progress.reader.partial:
            self._end(Lost("a stream that ends within an event"))
            return
        if not progress.started:
            self._pass_on(b"", progress)
        self._end(Streamed(progress.reader.count))

    def on_error(self, error: BrokenExchangeError) -> None:
        """Learn that no whole answer will come."""
        if not error.sent:
            self._end(Unsent(str(error), error.refused))
        elif self._not_run is not None:
            self._end(self._not_run)
        else:
            self._end(Lost(str(error), broken=True, streamed=self._streamed()))

    def _take_signals(self, metadata: ResponseMetadata) -> None:
        # An address may have gone to another upstream, whose signs these are then.
        if not metadata.misdirected:
            self._upstream.on_signals(metadata.signals)

    def _streamed(self) -> float:
        """Return the seconds for which events have been coming."""
        if self._first_event is None:
            return 0.0
        return self._clock.seconds() - self._first_event

    def _pass_on(self, whole: bytes, progress: StreamProgress) -> None:
        if progress.started:
            self._response.send(whole)
            return
        if self._head is None:
            return
        progress.started = True
        headers = drop_connection_headers(self._head.headers)
        self._response.begin(self._head.status, headers, whole)

    def _lose(self, reason: str) -> None:
        self._end(Lost(reason), cancel=True)

    def _touch(self) -> None:
        self._upstream.on_data()
        if self._watch is None or not self._watch.active():
            return
        if self._judging:
            self._judging = False
            self._watch.cancel()
            self._watch = self._clock.callLater(self._patience, self._notice_silence)
        else:
            self._watch.reset(self._patience)

    def _notice_silence(self) -> None:
        # After the process stood still time-outs come before what has arrived meanwhile
        # is read, so the upstream is judged a turn later.
        self._judging = True
        self._watch = self._clock.callLater(0, self._judge_silence)

    def _judge_silence(self) -> None:
        self._judging = False
        if self._exchange is not None and not self._exchange.sent:
            # There is no connection yet: nothing can have run, and to try elsewhere
            # costs no further attempt.
            self._end(Unsent("no connection in time"), cancel=True)
            return
        if self._may_leave is not None and self._may_leave():
            lost = Lost("silent", silent=True, streamed=self._streamed())
            self._end(lost, cancel=True)
            return
        self._watch = self._clock.callLater(self._patience, self._notice_silence)

    def _end(self, outcome: Outcome, *, cancel: bool = False) -> None:
        if self._watch is not None and self._watch.active():
            self._watch.cancel()
        if cancel and self._exchange is not None:
            self._exchange.cancel()
        if self._progress is not None:
            self._progress.reader.discard_partial()
        if not self._result.called:
            self._result.callback(outcome)
