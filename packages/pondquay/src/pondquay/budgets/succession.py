"""The witness's programs: seal and close the grants of a holder presumed dead.

Sealing is always safe: the holder can never dispatch an attempt that is not in the
witness's list. So tokens that are neither spent nor reserved for these attempts are
returned to the budget at once, and each attempt is resolved by asking its upstream.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.billing.bills import segment_key
from pondquay.budgets.closings import (
    Closed,
    Resolution,
    Resolved,
    close_grant,
    resolve_held,
)
from pondquay.budgets.rows import (
    GrantState,
    holder_prefix,
    load_grant,
    parse_grant_key,
)
from pondquay.tables import Unreachable, read_rows

if TYPE_CHECKING:
    from pondquay.budgets.directory import WitnessDirectory
    from pondquay.budgets.witness import Witness, WitnessedGrant
    from pondquay.names import GrantId, InstanceId
    from pondquay.tables import Program


@dataclass(slots=True)
class SealedGrant:
    """A sealed grant that is being closed.

    :param closed: whether its remainder is returned to the budget
    :param held: sequence numbers of attempts that are not yet resolved in the table
    """

    id: GrantId
    closed: bool = False
    held: set[int] = field(default_factory=set)


class Succession:
    """Seals and closes the grants of holders presumed dead, on behalf of a witness.

    :param instance: this incarnation of the witness
    :param witness: the grants that it witnesses
    :param directory: reports which holders are presumed dead
    :ivar sealed: sealed grants that are not closed or have attempts that are not yet
        resolved in the table
    """

    def __init__(
        self, instance: InstanceId, witness: Witness, directory: WitnessDirectory
    ) -> None:
        self.sealed: dict[GrantId, SealedGrant] = {}
        self.instance = instance
        self._witness = witness
        self._directory = directory
        self._number = 0

    def seal_unresponsive(self) -> list[GrantId]:
        """Seal the grants of holders presumed dead; return those newly sealed."""
        newly = []
        for holder in self._witness.holders():
            if not self._directory.is_presumed_dead(holder):
                continue
            for grant in self._witness.of_holder(holder):
                if grant.id not in self.sealed:
                    self.seal(grant.id, grant.workspace)
                    newly.append(grant.id)
        return newly

    def seal(self, grant: GrantId, workspace: str) -> None:
        """Stop acknowledging attempts of a grant and mark it to be closed."""
        self._witness.seal(grant, workspace)
        self.sealed.setdefault(grant, SealedGrant(grant))

    def seal_unknown_grants(self, holder: InstanceId) -> Program[None]:
        """Seal grants in the table that name this witness but are unknown to it.

        Such a grant remains if the holder dies before it uses a refill. A holder that
        is wrongly presumed dead may still refill, so this has to be repeated while it
        is presumed dead.
        """
        rows = yield from read_rows(prefixes=(holder_prefix(holder),))
        if isinstance(rows, Unreachable):
            return
        for row in rows.list_with_prefix(holder_prefix(holder)):
            grant = load_grant(row)
            if grant is None or grant.witness_id != self.instance:
                continue
            if grant.state is GrantState.OPEN:
                self.seal(parse_grant_key(row.key), grant.workspace)

    def close_sealed(self, sealed: SealedGrant) -> Program[None]:
        """Close a sealed grant in the table, then write the resolved attempts."""
        grant = self._witness.grants.get(sealed.id)
        if grant is None:
            self.sealed.pop(sealed.id, None)
            return
        if not sealed.closed:
            yield from self._close(grant, sealed)
        ended = {seq for seq in sealed.held if grant.has_ended(seq)}
        if sealed.closed and ended:
            yield from self._resolve(grant, sealed, ended)
        if sealed.closed and not sealed.held:
            self._witness.drop(sealed.id)
            self.sealed.pop(sealed.id, None)

    def _close(self, grant: WitnessedGrant, sealed: SealedGrant) -> Program[None]:
        closing = self._witness.describe_close(grant, self._next_segment())
        # An earlier close whose response was lost may have taken effect. Then the row
        # holds the attempts that were open at that time, so these are kept as well.
        sealed.held |= set(closing.held)
        outcome = yield from close_grant(closing)
        if not isinstance(outcome, Closed):
            return
        sealed.closed = True
        if not outcome.by_caller:
            # The row, written by another close, may hold attempts that ended since.
            sealed.held |= set(grant.bills)

    def _resolve(
        self, grant: WitnessedGrant, sealed: SealedGrant, ended: set[int]
    ) -> Program[None]:
        bills = {seq: grant.bills[seq] for seq in ended if seq in grant.bills}
        outcome = yield from resolve_held(
            grant.workspace,
            grant.id,
            [
                Resolution(seq, bills[seq].tokens if seq in bills else None)
                for seq in sorted(ended)
            ],
            list(bills.values()),
            self._next_segment(),
        )
        if isinstance(outcome, Resolved):
            sealed.held -= ended

    def _next_segment(self) -> str:
        self._number += 1
        return segment_key(f"{self.instance}-succession", self._number)
