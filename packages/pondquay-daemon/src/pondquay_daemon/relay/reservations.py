"""What one request reserves of its workspace's tokens, and what it uses of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.budgets.accounts import RefusalReason
from pondquay_daemon.relay.admission import Refusal

if TYPE_CHECKING:
    from pondquay.routes.entities import Route, RoutedWorkspace, Service
    from pondquay_daemon.relay.accounts import AccountBook
    from pondquay_daemon.relay.messages import RequestMetadata

PAYMENT_REQUIRED = 402
TOO_MANY_REQUESTS = 429
# Part of the objective after which a request without tokens is refused.
OBTAIN_PART = 0.2


class Reservation:
    """The tokens of one request.

    :param workspace: ``None`` for requests that nobody pays for
    :ivar used: tokens that it was settled at
    """

    def __init__(
        self,
        accounts: AccountBook,
        metadata: RequestMetadata,
        route: Route,
        workspace: RoutedWorkspace | None,
        service: Service | None,
    ) -> None:
        self._accounts = accounts
        self._metadata = metadata
        self._route = route
        self._workspace = workspace
        self._service = service
        self._reserved = 0
        self.used = 0

    async def reserve(self, tokens: int) -> Refusal | None:
        """Reserve tokens for a run, or say why it cannot be."""
        workspace = self._workspace
        if workspace is None or workspace.prepaid is None:
            return None
        if self._service is None or not self._service.counts_tokens:
            return None
        patience = OBTAIN_PART * self._route.objective
        refused = await self._accounts.obtain(
            self._metadata.attempt, workspace.name, tokens, patience
        )
        if refused is None:
            self._reserved += tokens
            return None
        if refused is RefusalReason.EXHAUSTED:
            return Refusal(PAYMENT_REQUIRED, "budget exhausted", None)
        wait = self._accounts.retry_after_seconds(refused)
        return Refusal(TOO_MANY_REQUESTS, f"budget {refused}", wait)

    def settle(self, used: int) -> None:
        """Replace what is reserved by what was used of it."""
        reserved, self._reserved = self._reserved, 0
        if reserved and self._workspace is not None:
            self.used = min(reserved, used)
            self._accounts.settle(self._workspace.name, reserved, used)

    def settle_all(self) -> None:
        """Count as used what has not been settled: its end is not known."""
        self.settle(self._reserved)

    def settle_stream(self, events: int) -> None:
        """Settle a whole stream by the events that came."""
        event_tokens = 0 if self._service is None else self._service.event_tokens
        output = min(self._metadata.output_tokens, events * event_tokens)
        self.settle(self._reserved - self._metadata.output_tokens + output)
