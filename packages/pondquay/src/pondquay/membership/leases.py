"""Leases that select the instance that performs a fleet-wide task.

A lease makes it unlikely, but not impossible, that two instances perform a task at the
same time. Correctness does not depend on it: tasks use transactions or pass the
lease's fence on to what they change.
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
    """The stored state of a lease.

    :param fence: fencing token, incremented with each change of the holder
    :param beat: incremented with each renewal and each change of the holder
    """

    holder: str
    fence: int
    beat: int


_LEASE: TypeAdapter[LeaseRow] = TypeAdapter(LeaseRow)


def lease_key(name: str) -> str:
    """Return the key of a lease's row."""
    return f"{LEASE_PREFIX}{name}"


class Lease:
    """An instance's view of a lease.

    :param name: name of the task
    :param holder: identifier of this incarnation of the instance
    :ivar fence: fence of the lease if this instance holds it, otherwise ``None``
    """

    def __init__(self, name: str, holder: str) -> None:
        self._key = lease_key(name)
        self._holder = holder
        self._observed_version = 0
        self._observed_at = 0.0
        self.fence: int | None = None

    @property
    def held(self) -> bool:
        """Whether this instance believes that it holds the lease."""
        return self.fence is not None

    def renew(self, now: float) -> Program[None]:
        """Renew the lease, or acquire it if it has expired.

        A lease expires when this instance has observed no change of its row for
        ``EXPIRY_SECONDS``; clocks of different instances are not compared.
        """
        rows = yield from read_rows(self._key)
        if isinstance(rows, Unreachable):
            self.fence = None
            return
        row = rows.rows.get(self._key)
        stored = None if row is None else _LEASE.validate_python(row.value)
        if not self._may_write(row, stored, now):
            self.fence = None
            return
        is_own = stored is not None and stored.holder == self._holder
        fence = 1 if stored is None else stored.fence + (0 if is_own else 1)
        beat = 1 if stored is None else stored.beat + 1
        value = _LEASE.dump_python(LeaseRow(self._holder, fence, beat), mode="json")
        reply = yield from commit_rows(
            Transaction(
                f"lease/{self._holder}/{beat}",
                (Condition(self._key, rows.version(self._key)),),
                (Write(self._key, value),),
            )
        )
        self.fence = fence if isinstance(reply, Committed) else None

    def _may_write(self, row: Row | None, stored: LeaseRow | None, now: float) -> bool:
        if row is None or stored is None or stored.holder == self._holder:
            return True
        if row.version != self._observed_version:
            self._observed_version = row.version
            self._observed_at = now
            return False
        return now - self._observed_at >= EXPIRY_SECONDS
