"""Calls that are answered as a whole, with a bound on their time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay.tables import OutcomeUnknown, Unreachable
from pondquay_daemon.relay.egress import Exchange, ExchangeListener

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay_daemon.relay.egress import EgressPool
    from pondquay_daemon.relay.errors import BrokenExchangeError
    from pondquay_daemon.relay.messages import HeaderList, ResponseHead


@dataclass(frozen=True, slots=True)
class FetchedResponse:
    """A whole answer."""

    status: int
    body: bytes


class _Collector(ExchangeListener):
    """Collects one answer."""

    def __init__(self) -> None:
        self.result: Deferred[FetchedResponse | Unreachable | OutcomeUnknown] = (
            Deferred()
        )
        self._status = 0
        self._body: list[bytes] = []

    def on_head(self, head: ResponseHead) -> None:
        """Take the head of the answer."""
        self._status = head.status

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._body.append(data)

    def on_end(self) -> None:
        """Hand the answer over."""
        self.finish(FetchedResponse(self._status, b"".join(self._body)))

    def on_error(self, error: BrokenExchangeError) -> None:
        """Tell whether the call may have been carried out."""
        self.finish(OutcomeUnknown() if error.sent else Unreachable())

    def finish(self, result: FetchedResponse | Unreachable | OutcomeUnknown) -> None:
        """Fire the result once."""
        if not self.result.called:
            self.result.callback(result)


@dataclass(frozen=True, slots=True)
class Call:
    """A call over HTTP."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes = b""


class Fetcher:
    """Calls one address.

    :param address: who is called
    """

    def __init__(self, clock: IReactorTime, pool: EgressPool, address: Address) -> None:
        self._clock = clock
        self._pool = pool
        self._address = address

    async def fetch(
        self, call: Call, seconds: float
    ) -> FetchedResponse | Unreachable | OutcomeUnknown:
        """Make a call; an answer that takes longer counts as lost."""
        collector = _Collector()
        exchange = Exchange(
            collector, call.method, call.target, call.headers, call.body
        )

        def give_up() -> None:
            sent = exchange.sent
            exchange.cancel()
            collector.finish(OutcomeUnknown() if sent else Unreachable())

        timer = self._clock.callLater(seconds, give_up)
        self._pool.start(self._address, exchange)
        try:
            return await collector.result
        finally:
            if timer.active():
                timer.cancel()
