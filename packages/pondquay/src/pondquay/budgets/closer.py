"""Programs that close a holder's grants and settle attempts that end afterwards."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.budgets.closings import (
    Closed,
    Resolution,
    Resolved,
    close_grant,
    resolve_held,
)
from pondquay.budgets.holdings import Attempt, Holding, HoldingState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pondquay.budgets.holder import Holder
    from pondquay.budgets.messages import Forget
    from pondquay.names import InstanceId
    from pondquay.tables import Program


@dataclass(slots=True)
class MaintenanceResult:
    """Results that the caller of a program reports to requests and witnesses.

    :param recorded: attempts whose outcomes are in the table now
    :param refused: attempts that will not run
    :param notices: messages to witnesses
    """

    recorded: list[Attempt] = field(default_factory=list)
    refused: list[Attempt] = field(default_factory=list)
    notices: list[tuple[InstanceId, Forget]] = field(default_factory=list)


class GrantCloser:
    """Closes grants of a holder in the table.

    :param is_pending: returns whether the outcome of a grant's last change is unknown
    :param next_segment: returns the key of the next segment of bills
    """

    def __init__(
        self,
        holder: Holder,
        is_pending: Callable[[Holding], bool],
        next_segment: Callable[[], str],
    ) -> None:
        self._holder = holder
        self._is_pending = is_pending
        self._next_segment = next_segment

    def close_pending(self, result: MaintenanceResult) -> Program[None]:
        """Close all grants in the state ``CLOSING``."""
        for holding in self._holder.list_holdings():
            is_closing = holding.state is HoldingState.CLOSING
            if is_closing and not self._is_pending(holding):
                yield from self._close(holding, result)

    def _close(self, holding: Holding, result: MaintenanceResult) -> Program[None]:
        closing = self._holder.describe_close(holding, self._next_segment())
        settled = list(holding.settled())
        outcome = yield from close_grant(closing)
        if not isinstance(outcome, Closed):
            return
        if not outcome.by_caller:
            # The row was written earlier and may still hold attempts settled since.
            resolved = yield from self._resolve(holding, settled)
            if not resolved:
                return
        result.recorded += settled
        forget = self._holder.note_closed(holding, settled)
        if forget is not None and holding.witness is not None and outcome.by_caller:
            result.notices.append((holding.witness, forget))

    def settle_late_attempts(self, result: MaintenanceResult) -> Program[None]:
        """Write the outcomes of attempts that ended after their grant was closed."""
        for holding in self._holder.list_holdings():
            settled = list(holding.settled())
            if holding.state is not HoldingState.CLOSED or not settled:
                continue
            resolved = yield from self._resolve(holding, settled)
            if resolved:
                result.recorded += settled
                self._holder.note_closed(holding, settled)

    def _resolve(self, holding: Holding, settled: Sequence[Attempt]) -> Program[bool]:
        """Settle attempts of a closed grant; return whether they are settled."""
        outcome = yield from resolve_held(
            holding.workspace,
            holding.id,
            [Resolution(attempt.id.seq, attempt.billed) for attempt in settled],
            [attempt.bill for attempt in settled if attempt.bill is not None],
            self._next_segment(),
        )
        return isinstance(outcome, Resolved)
