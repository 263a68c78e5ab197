"""HTTP calls with a timeout that return complete responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay.tables import OutcomeUnknown, Unreachable
from pondquay_daemon.readtimers import ReadTimer
from pondquay_daemon.relay.exchanges import Exchange, ExchangeListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay_daemon.relay.egress import EgressPool
    from pondquay_daemon.relay.errors import BrokenExchangeError
    from pondquay_daemon.relay.messages import HeaderList, ResponseHead


# Bytes of a response's body. Those of the store have 1 MB of rows, or one object.
MAX_FETCHED_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """A complete response."""

    status: int
    body: bytes


class _Collector(ExchangeListener):
    """Collects one response.

    :param on_too_long: called when the response is longer than it may be
    """

    def __init__(self, on_too_long: Callable[[], None]) -> None:
        self._on_too_long = on_too_long
        self.result: Deferred[FetchedResponse | Unreachable | OutcomeUnknown] = (
            Deferred()
        )
        self._status = 0
        self._body = bytearray()

    def on_head(self, head: ResponseHead) -> None:
        """Store the status of the response."""
        self._status = head.status

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._body += data
        if len(self._body) > MAX_FETCHED_BYTES:
            self._on_too_long()

    def on_end(self) -> None:
        """Complete the call with the response."""
        self.finish(FetchedResponse(self._status, bytes(self._body)))

    def on_error(self, error: BrokenExchangeError) -> None:
        """Complete the call as failed; it may have run if the request was sent."""
        self.finish(OutcomeUnknown() if error.sent else Unreachable())

    def finish(self, result: FetchedResponse | Unreachable | OutcomeUnknown) -> None:
        """Fire the result, unless it has fired already."""
        if not self.result.called:
            self.result.callback(result)


@dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""


class Fetcher:
    """Makes calls to the server at one address."""

    def __init__(self, clock: IReactorTime, pool: EgressPool, address: Address) -> None:
        self._clock = clock
        self._pool = pool
        self._address = address

    async def fetch(
        self, call: Call, seconds: float
    ) -> FetchedResponse | Unreachable | OutcomeUnknown:
        """Make a call.

        :param seconds: timeout; the outcome is unknown if the call was sent by then, as
            it is if the response is too long
        """

        def give_up() -> None:
            sent = exchange.sent
            exchange.cancel()
            collector.finish(OutcomeUnknown() if sent else Unreachable())

        collector = _Collector(give_up)
        exchange = Exchange(
            collector, call.method, call.target, call.headers, call.body
        )
        timeout = ReadTimer(self._clock, seconds, give_up)
        self._pool.start(self._address, exchange)
        try:
            return await collector.result
        finally:
            timeout.cancel()
