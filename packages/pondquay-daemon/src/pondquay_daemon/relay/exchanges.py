"""HTTP exchanges: one request and its response, on whichever connection."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from typing import TYPE_CHECKING

from pondquay_daemon.relay.errors import BrokenExchangeError

if TYPE_CHECKING:
    from pondquay_daemon.relay.dialing import DialFailure
    from pondquay_daemon.relay.messages import HeaderList, ResponseHead


class ExchangeListener(ABC):
    """Receives the events of an exchange; none after ``on_end`` or ``on_error``."""

    @abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Handle the head of the response."""

    @abstractmethod
    def on_body(self, data: bytes) -> None:
        """Handle a part of the response's body."""

    @abstractmethod
    def on_end(self) -> None:
        """Handle the end of a complete response."""

    @abstractmethod
    def on_error(self, error: BrokenExchangeError) -> None:
        """Handle a failure; no complete response will follow."""


# Latest requests of a connection whose names are kept.
MAX_NAMES = 16


class ExchangeConnection(ABC):
    """A connection that carries one exchange after another.

    :ivar gateway: name of the peer through which it passes, empty if it is direct
    :ivar exchanges: number of exchanges that it has begun
    :ivar names: names of its latest requests
    :ivar refused: names of the requests that the upstream refused on it
    """

    def __init__(self) -> None:
        self.gateway = ""
        self.exchanges = 0
        self.names: deque[str] = deque(maxlen=MAX_NAMES)
        self.refused: set[str] = set()

    @abstractmethod
    def begin(
        self,
        listener: ExchangeListener,
        method: bytes,
        target: bytes,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send a request, with framing headers added."""

    @abstractmethod
    def skip_response(self) -> bool:
        """Ignore the response whose head was read, and read a further one.

        :returns: whether a further one can be read
        """

    @abstractmethod
    def pause_reading(self) -> None:
        """Stop reading the response; neither its end nor its failure is noticed."""

    @abstractmethod
    def resume_reading(self) -> None:
        """Read the response again."""

    @abstractmethod
    def drop(self) -> None:
        """Close the connection immediately, without notifying the listener."""


class Exchange:
    """One request and its response, on a pooled connection or a new one.

    :param name: the name by which its response is recognized, ``None`` if it has none
    """

    def __init__(
        self,
        listener: ExchangeListener,
        method: bytes,
        target: bytes,
        headers: HeaderList,
        body: bytes = b"",
        *,
        name: str | None = None,
    ) -> None:
        self.name = name
        self._listener = listener
        self._request = (method, target, headers, body)
        self._connection: ExchangeConnection | None = None
        self._cancelled = False

    @property
    def sent(self) -> bool:
        """Whether the request was handed to a connection."""
        return self._connection is not None

    @property
    def reused(self) -> bool:
        """Whether its connection carried another exchange before."""
        return self._connection is not None and self._connection.exchanges > 1

    @property
    def gateway(self) -> str:
        """Name of the peer through which it passes, empty if none."""
        return "" if self._connection is None else self._connection.gateway

    def start_on(self, connection: ExchangeConnection) -> None:
        """Send the request on a connection."""
        if self._cancelled:
            connection.drop()
            return
        self._connection = connection
        if self.name is not None:
            connection.names.append(self.name)
        connection.begin(self._listener, *self._request)

    def fail_connect(self, failure: DialFailure) -> None:
        """Report that no connection could be established."""
        if not self._cancelled:
            error = BrokenExchangeError(
                failure.reason, sent=False, refused=failure.refused
            )
            self._listener.on_error(error)

    def note_refused(self) -> None:
        """Send no later request with the same name on its connection.

        A late copy of the refusal could not be told from a response to that request.
        """
        if self._connection is not None and self.name is not None:
            self._connection.refused.add(self.name)

    def skip_copy(self, name: str) -> bool:
        """Ignore the response that has begun if it repeats one to an earlier request.

        :param name: name of the request to which it belongs
        :returns: whether a further response is read
        """
        connection = self._connection
        if connection is None or name == self.name or name not in connection.names:
            return False
        return connection.skip_response()

    def pause_reading(self) -> None:
        """Stop reading the response."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_reading(self) -> None:
        """Read the response again."""
        if self._connection is not None:
            self._connection.resume_reading()

    def cancel(self) -> None:
        """Close the exchange's connection, without notifying the listener."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.drop()
