"""Tokens that one request reserves from its workspace's budget and uses."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from pondquay.budgets.accounts import RefusalReason
from pondquay_daemon.relay.admission import Refusal

if TYPE_CHECKING:
    from pondquay.routes.entities import Route, RoutedWorkspace, Service
    from pondquay_daemon.relay.accounts import AccountBook
    from pondquay_daemon.relay.messages import RequestMetadata

PAYMENT_REQUIRED = 402
TOO_MANY_REQUESTS = 429
# Maximum time that a request waits for tokens, as a fraction of its route's objective.
TOKEN_WAIT_FRACTION = 0.2


class Reservation:
    """The reserved tokens of one request.

    :param workspace: ``None`` for requests without a budget
    :ivar used: tokens that the last settlement charged, at most those reserved
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
        self._prepared = 0
        self.used = 0

    @property
    def reserved(self) -> int:
        """The tokens that are reserved now."""
        return self._reserved

    @property
    def _has_budget(self) -> bool:
        if self._workspace is None or self._workspace.prepaid is None:
            return False
        return self._service is not None and self._service.counts_tokens

    def find_max_events(self) -> int | None:
        """Return the number of events that the reserved output covers.

        The last event may have fewer tokens than the others.

        :returns: ``None`` if the request has no budget or does not tell its output
        """
        output = self._metadata.output_tokens
        if not self._has_budget or self._service is None or not output:
            return None
        return ceil(output / self._service.event_tokens)

    async def reserve(self, tokens: int) -> Refusal | None:
        """Reserve tokens for a run, if the request has a budget.

        :returns: a refusal if no tokens could be reserved
        """
        if self._prepared and self._prepared == tokens:
            self._prepared = 0
            self._reserved += tokens
            return None
        refused = await self._obtain(tokens)
        if refused is None:
            self._reserved += tokens
            return None
        if refused is RefusalReason.EXHAUSTED:
            return Refusal(PAYMENT_REQUIRED, "budget exhausted", None)
        wait = self._accounts.retry_after_seconds(refused)
        return Refusal(TOO_MANY_REQUESTS, f"budget {refused}", wait)

    async def prepare(self, tokens: int) -> bool:
        """Reserve tokens for a run that may not take place.

        The next reservation uses them, unless they are released before.

        :returns: whether they are reserved, or none are needed
        """
        self.release_prepared()
        if await self._obtain(tokens) is not None:
            return False
        self._prepared = tokens if self._has_budget else 0
        return True

    def release_prepared(self) -> None:
        """Release the tokens of a run that does not take place."""
        prepared, self._prepared = self._prepared, 0
        if prepared and self._workspace is not None:
            self._accounts.settle(self._workspace.name, prepared, 0)

    async def _obtain(self, tokens: int) -> RefusalReason | None:
        """Reserve tokens; return the reason if that is not possible."""
        workspace = self._workspace
        if workspace is None or not self._has_budget:
            return None
        max_wait_seconds = TOKEN_WAIT_FRACTION * self._route.objective
        return await self._accounts.obtain(
            self._metadata.attempt, workspace.name, tokens, max_wait_seconds
        )

    def settle(self, used: int) -> None:
        """Release the reserved tokens and charge those that were used."""
        reserved, self._reserved = self._reserved, 0
        if reserved and self._workspace is not None:
            self.used = min(reserved, used)
            self._accounts.settle(self._workspace.name, reserved, used)

    def settle_all(self) -> None:
        """Charge all tokens that are still reserved, since their use is unknown.

        Those for a run that has not taken place are released.
        """
        self.release_prepared()
        self.settle(self._reserved)

    def settle_stream(self, events: int) -> None:
        """Settle a complete stream by the number of its events."""
        event_tokens = 0 if self._service is None else self._service.event_tokens
        output = min(self._metadata.output_tokens, events * event_tokens)
        self.settle(self._reserved - self._metadata.output_tokens + output)
