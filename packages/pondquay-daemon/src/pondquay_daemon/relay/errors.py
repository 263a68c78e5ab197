"""Exceptions of the relay."""

from __future__ import annotations

from pondquay.errors import PondquayError


class RelayError(PondquayError):
    """Base class of the relay's errors."""


class MalformedValueError(RelayError):
    """A value of the store, a header or a peer message is malformed."""


class BrokenExchangeError(RelayError):
    """An HTTP exchange ended without a complete response.

    :param sent: whether any byte of the request was sent
    :param refused: whether the host refused the connection
    :param by_gateway: whether the tunnel broke, which says nothing about the upstream
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        refused: bool = False,
        by_gateway: bool = False,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.refused = refused
        self.by_gateway = by_gateway
