"""Retries of one request, from this instance's share of the fleet's retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.logs import Level, log_event

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
        # Times at which the reserved retry, and the one used last, count in the share.
        self._reserved_at: float | None = None
        self._taken_at: float | None = None

    def note_first(self, arrived_at: float) -> None:
        """Count the request, which increases the number of allowed retries.

        :param arrived_at: when it arrived, in seconds
        """
        now = self._components.clock.seconds()
        self._components.retries.note_first(self._service, arrived_at, now)

    def can_reserve(self) -> bool:
        """Return whether a retry can be reserved now."""
        if self._reserved_at is not None:
            return True
        return self._components.retries.can_spend(
            self._service, self._components.clock.seconds()
        )

    def take(self, upstream: str, cause: str) -> bool:
        """Use the reserved retry or a new one; return whether a retry is allowed.

        :param upstream: name of the upstream to which the request is sent
        :param cause: why it is sent again, for the logs
        """
        now = self._components.clock.seconds()
        if self._reserved_at is not None:
            self._components.retries.postpone(self._service, self._reserved_at, now)
        elif not self._spend():
            return False
        self._taken_at, self._reserved_at = now, None
        self._components.metrics.retries_used.labels(cause).inc()
        self._log("retry-used", upstream=upstream, cause=cause)
        return True

    def reserve(self) -> bool:
        """Reserve a retry; return whether one is reserved."""
        if self._reserved_at is None and self._spend():
            self._reserved_at = self._components.clock.seconds()
        return self._reserved_at is not None

    def keep(self) -> None:
        """Reserve the retry that was used last again, as nothing was sent with it."""
        if self._taken_at is not None:
            self._reserved_at, self._taken_at = self._taken_at, None
            self._log("retry-unused")

    def release(self) -> None:
        """Return the reserved retry, as the request has ended."""
        if self._reserved_at is not None:
            self._components.retries.give_back(self._service, self._reserved_at)
            self._reserved_at = None

    def _spend(self) -> bool:
        now = self._components.clock.seconds()
        granted = self._components.retries.spend(self._service, now)
        self._components.metrics.retries.labels("yes" if granted else "no").inc()
        self._log("retry-decided", granted=granted)
        return granted

    def _log(self, event: str, **fields: object) -> None:
        """Log an event of a retry, with what the share has counted."""
        now = self._components.clock.seconds()
        use = self._components.retries.measure(self._service, now)
        log_event(
            event,
            Level.INFO,
            request=self._request,
            service=self._service,
            **fields,
            requests=use.requests,
            retries=use.retries,
            allowed=round(use.allowed, 2),
        )
