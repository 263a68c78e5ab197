"""Further attempts of one request, out of this instance's share of the fleet's."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Collection

    from pondquay_daemon.relay.components import RelayComponents


class RetryPermit:
    """Takes further attempts for one request; one may be taken before it is made.

    :param request: the attempt's name, for the logs
    """

    def __init__(self, components: RelayComponents, service: str, request: str) -> None:
        self._components = components
        self._service = service
        self._request = request
        self._held = False

    def note_first(self) -> None:
        """Count the request, which raises what may be taken."""
        self._components.retries.note_first(
            self._service, self._components.clock.seconds()
        )

    def take(self) -> bool:
        """Take a further attempt, unless one was taken before."""
        if self._held:
            self._held = False
            return True
        return self._spend()

    def hold_for_other(self, tried: Collection[str]) -> bool:
        """Take one before an upstream is left, if another may serve the request.

        :param tried: upstreams that were tried
        """
        if not self._components.placement.has_other(self._service, tried):
            return False
        self._held = self._held or self.take()
        return self._held

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
