"""The witness's programs: winding up the grants of a holder that is gone.

Sealing is always safe: what the holder can ever dispatch is then in the witness's
list. So the rest goes back to the budget at once, and each attempt in the list is
resolved as its upstream says.
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
    """A sealed grant on its way out.

    :param closed: its remainder is back in the budget
    :param held: attempts whose end is still to be written to the table
    """

    id: GrantId
    closed: bool = False
    held: set[int] = field(default_factory=set)


class Succession:
    """What a witness does with the grants of holders that are gone.

    :param instance: the witness, in this one of its lives
    :param witness: what it knows of grants
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
        """Seal the grants of holders that are gone; return those newly sealed."""
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
        """Acknowledge nothing more for a grant, and wind it up from now on."""
        self._witness.seal(grant, workspace)
        self.sealed.setdefault(grant, SealedGrant(grant))

    def seal_unknown_grants(self, holder: InstanceId) -> Program[None]:
        """Seal grants that name us as witness and of which we never heard.

        That is a refill whose answer was lost, after which the holder died. A holder
        that only seemed to be gone may still refill, so this is to be done again for
        as long as it seems so.
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
        """Bring a sealed grant further: close it, then write what was resolved."""
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
        # An earlier try whose answer was lost may have stored its own list.
        sealed.held |= set(closing.held)
        outcome = yield from close_grant(closing)
        if not isinstance(outcome, Closed):
            return
        sealed.closed = True
        if not outcome.by_us:
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
