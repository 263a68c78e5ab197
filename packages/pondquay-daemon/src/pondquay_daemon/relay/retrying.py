"""Retries of one request, from this instance's share of the fleet's retries."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import TYPE_CHECKING

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.outcomes import Lost, Stopped, Unsent

if TYPE_CHECKING:
    from pondquay.routing.retryshares import Retry
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.outcomes import Outcome

# Longest silence after which an upstream reads on what has arrived meanwhile.
MAX_SILENCE_SECONDS = 2.0


class RetryPermit:
    """Obtains retries for one request, of which some may be reserved in advance.

    :param request: the caller's identifier of its attempt, for the logs
    """

    def __init__(self, components: RelayComponents, service: str, request: str) -> None:
        self._components = components
        self._service = service
        self._request = request
        # Retries that are used first, in order.
        self._reserved: deque[Retry] = deque()
        # The retry that was used last.
        self._taken: Retry | None = None
        # Time until which an upstream that was left may still read the request.
        self._readable_until = 0.0

    def note_first(self, arrived_at: float) -> None:
        """Count the request, which increases the number of allowed retries.

        :param arrived_at: when it arrived, in seconds
        """
        now = self._components.clock.seconds()
        self._components.retries.note_first(self._service, arrived_at, now)

    def can_reserve(self) -> bool:
        """Return whether a retry can be reserved now."""
        if self._reserved:
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
        retries = self._components.retries
        retry = self._reserved.popleft() if self._reserved else self._spend()
        if retry is None:
            return False
        if not retries.confirm(self._service, retry, now):
            self._note_decision(granted=False)
            return False
        self._taken = retry
        self._components.metrics.retries_used.labels(cause).inc()
        self._log("retry-used", upstream=upstream, cause=cause)
        return True

    def reserve(self) -> bool:
        """Reserve a retry; return whether one is reserved."""
        if not self._reserved:
            self._reserve()
        return bool(self._reserved)

    def reserve_return(self) -> None:
        """Reserve a further retry until an upstream responds, if one is left."""
        now = self._components.clock.seconds()
        if self._components.retries.can_spend(self._service, now):
            self._reserve()

    def note_response(self) -> None:
        """Note that the upstream to which the request was sent last responds."""
        self._give_back_reserved()
        self._note_read()

    def _note_read(self) -> None:
        """Note that no upstream reads the last retry any more, but for silent ones."""
        if self._taken is not None:
            now = self._components.clock.seconds()
            self._taken.until = max(now, self._readable_until)

    def note_outcome(self, outcome: Outcome) -> None:
        """Note how the last attempt ended."""
        if isinstance(outcome, Unsent):
            self._keep()
            return
        if is_unread(outcome):
            self._note_unread()
        self._note_read()

    def release(self) -> None:
        """Return the reserved retries, as the request has ended."""
        if self._taken is not None and self._taken.until == inf:
            # The attempt ended without an outcome, by an error of this process.
            self._note_unread()
            self._note_read()
        self._give_back_reserved()

    def _give_back_reserved(self) -> None:
        while self._reserved:
            self._components.retries.give_back(self._service, self._reserved.pop())

    def _note_unread(self) -> None:
        """Note that an upstream may read the request after the attempt's end."""
        now = self._components.clock.seconds()
        self._readable_until = now + MAX_SILENCE_SECONDS

    def _keep(self) -> None:
        """Reserve the retry that was used last again, as nothing was sent with it."""
        if self._taken is not None:
            self._reserved.appendleft(self._taken)
            self._taken = None
            self._log("retry-unused")

    def _reserve(self) -> None:
        retry = self._spend()
        if retry is not None:
            self._reserved.append(retry)

    def _spend(self) -> Retry | None:
        now = self._components.clock.seconds()
        retry = self._components.retries.spend(self._service, now)
        self._note_decision(granted=retry is not None)
        return retry

    def _note_decision(self, *, granted: bool) -> None:
        self._components.metrics.retries.labels("yes" if granted else "no").inc()
        self._log("retry-decided", granted=granted)

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


def is_unread(outcome: Outcome) -> bool:
    """Return whether an upstream may read the request after the attempt's end."""
    if isinstance(outcome, Lost):
        return outcome.silent and not outcome.began
    return isinstance(outcome, Stopped) and outcome.sent
