"""Leases: which instance does a piece of work that one must do for all.

A lease keeps two instances from doing the same work at the same time most of the
time. Nothing relies on it for safety: the work is done in transactions, or carries
the lease's fence.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from pondquay.tables import (
    Committed,
    Condition,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from pondquay.tables import Program, Row

LEASE_PREFIX = "lease/"
EXPIRY_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A lease as its row stands.

    :param fence: counts up with each new holder
    :param beat: counts up with each renewal
    """

    holder: str
    fence: int
    beat: int


_LEASE: TypeAdapter[LeaseRow] = TypeAdapter(LeaseRow)


def lease_key(name: str) -> str:
    """Return the key of a lease's row."""
    return f"{LEASE_PREFIX}{name}"


class Lease:
    """One instance's view of a lease.

    :param name: the work that the lease is for
    :param holder: this instance, in this one of its lives
    """

    def __init__(self, name: str, holder: str) -> None:
        self._key = lease_key(name)
        self._holder = holder
        self._seen = 0
        self._seen_at = 0.0
        self.fence: int | None = None

    @property
    def held(self) -> bool:
        """Whether this instance believes that it holds the lease."""
        return self.fence is not None

    def renew(self, now: float) -> Program[None]:
        """Renew the lease, or take it if its holder has not for a while.

        What counts is how long the row stood still before our own eyes, so no two
        clocks are ever compared.
        """
        rows = yield from read_rows(self._key)
        if isinstance(rows, Unreachable):
            self.fence = None
            return
        row = rows.rows.get(self._key)
        standing = None if row is None else _LEASE.validate_python(row.value)
        if not self._may_write(row, standing, now):
            self.fence = None
            return
        ours = standing is not None and standing.holder == self._holder
        fence = 1 if standing is None else standing.fence + (0 if ours else 1)
        beat = 1 if standing is None else standing.beat + 1
        value = _LEASE.dump_python(LeaseRow(self._holder, fence, beat), mode="json")
        reply = yield from commit_rows(
            Transaction(
                f"lease/{self._holder}/{beat}",
                (Condition(self._key, rows.version(self._key)),),
                (Write(self._key, value),),
            )
        )
        self.fence = fence if isinstance(reply, Committed) else None

    def _may_write(
        self, row: Row | None, standing: LeaseRow | None, now: float
    ) -> bool:
        if row is None or standing is None or standing.holder == self._holder:
            return True
        if row.version != self._seen:
            self._seen = row.version
            self._seen_at = now
            return False
        return now - self._seen_at >= EXPIRY_SECONDS
