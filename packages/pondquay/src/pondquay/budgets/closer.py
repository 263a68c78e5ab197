"""Closing what a holder no longer draws on, and settling what ends afterwards."""

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
    """What a program has brought about that others wait for.

    :param recorded: attempts whose bills are in the table now
    :param refused: attempts that will not run
    :param notices: word for witnesses
    """

    recorded: list[Attempt] = field(default_factory=list)
    refused: list[Attempt] = field(default_factory=list)
    notices: list[tuple[InstanceId, Forget]] = field(default_factory=list)


class GrantCloser:
    """The holder's programs that close grants.

    :param is_pending: tells whether the outcome of a change of a grant is not known
    :param next_segment: returns the key for the next bills
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

    def close_closing(self, progress: MaintenanceResult) -> Program[None]:
        """Close all grants that are never drawn on again."""
        for holding in self._holder.list_holdings():
            closing = holding.state is HoldingState.CLOSING
            if closing and not self._is_pending(holding):
                yield from self._close(holding, progress)

    def _close(self, holding: Holding, progress: MaintenanceResult) -> Program[None]:
        closing = self._holder.describe_close(holding, self._next_segment())
        settled = list(holding.settled())
        outcome = yield from close_grant(closing)
        if not isinstance(outcome, Closed):
            return
        if not outcome.by_us:
            resolved = yield from self._resolve(holding, settled)
            if not resolved:
                return
        progress.recorded += settled
        forget = self._holder.note_closed(holding, settled)
        if forget is not None and holding.witness is not None and outcome.by_us:
            progress.notices.append((holding.witness, forget))

    def settle_closed(self, progress: MaintenanceResult) -> Program[None]:
        """Write ends of attempts that came after their grant was closed."""
        for holding in self._holder.list_holdings():
            settled = list(holding.settled())
            if holding.state is not HoldingState.CLOSED or not settled:
                continue
            resolved = yield from self._resolve(holding, settled)
            if resolved:
                progress.recorded += settled
                self._holder.note_closed(holding, settled)

    def _resolve(self, holding: Holding, settled: Sequence[Attempt]) -> Program[bool]:
        """Settle attempts of a closed grant in the table."""
        outcome = yield from resolve_held(
            holding.workspace,
            holding.id,
            [Resolution(one.id.seq, one.billed) for one in settled],
            [one.bill for one in settled if one.bill is not None],
            self._next_segment(),
        )
        return isinstance(outcome, Resolved)
