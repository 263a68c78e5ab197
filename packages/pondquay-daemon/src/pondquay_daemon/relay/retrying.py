"""Retries of one request, from this instance's share of the fleet's retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event

if TYPE_CHECKING:
    from pondquay_daemon.relay.components import RelayComponents


class RetryPermit:
    """Obtains retries for one request; one may be reserved in advance.

    :param request: the caller's identifier of its attempt, for the logs
    """

    def __init__(self, components: RelayComponents, service: str, request: str) -> None:
        self._components = components
        self._service = service
        self._request = request
        self._reserved = False

    def note_first(self) -> None:
        """Count the request, which increases the number of allowed retries."""
        self._components.retries.note_first(
            self._service, self._components.clock.seconds()
        )

    def take(self) -> bool:
        """Use the reserved retry or a new one; return whether a retry is allowed."""
        if self._reserved:
            self._reserved = False
            return True
        return self._spend()

    def reserve(self) -> bool:
        """Reserve a retry; return whether one is reserved."""
        self._reserved = self._reserved or self.take()
        return self._reserved

    def _spend(self) -> bool:
        now = self._components.clock.seconds()
        granted = self._components.retries.spend(self._service, now)
        self._components.metrics.retries.labels("yes" if granted else "no").inc()
        log_event(
            "retry-decided",
            request=self._request,
            service=self._service,
            granted=granted,
        )
        return granted
