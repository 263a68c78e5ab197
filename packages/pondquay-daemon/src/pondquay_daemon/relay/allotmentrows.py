"""Reading, conditionally writing and closing allotment rows in the store."""

from __future__ import annotations

from collections import Counter
from random import uniform
from typing import TYPE_CHECKING

from pondquay.budgets.allotments import EMPTY_ROW, AllotmentRow
from pondquay.budgets.headroom import plan_headroom
from pondquay.errors import MalformedRowError
from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Transaction,
    Unreachable,
    Write,
)
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.tasks import sleep

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from pondquay.budgets.accounts import Account
    from pondquay.budgets.allotments import Allotment
    from pondquay.tables import Row
    from pondquay_daemon.relay.store import Store

TABLE = "allotments"
# Minimum of the random delay after a failed call. Consecutive failures double the
# maximum, up to a limit, so that retries do not add load to an overloaded table.
RETRY_SECONDS = 0.1
MAX_DOUBLINGS = 4


class AllotmentRows:
    """Synchronizes accounts with their rows.

    Callers make at most one call per account at a time.
    """

    def __init__(self, clock: IReactorTime, store: Store) -> None:
        self._clock = clock
        self._store = store
        self._failures: Counter[str] = Counter()

    async def read(self, name: str, account: Account) -> bool:
        """Read a workspace's row; return whether that succeeded."""
        reply = await self._store.read_row(row_key(name))
        if isinstance(reply, Unreachable):
            await self._back_off(name)
            return False
        if not apply_row(name, account, reply):
            await self._back_off(name)
            return False
        return True

    async def write(self, name: str, account: Account) -> bool:
        """Write the planned headroom.

        :returns: ``False`` if the row has changed and the write should be retried
        """
        now = self._clock.seconds()
        headroom = plan_headroom(account, now)
        if headroom is None:
            return True
        change = account.propose(headroom, now)
        account.begin_write(change)
        transaction = make_transaction(name, account.version or ABSENT, change.row)
        reply = await self._store.commit(transaction)
        if isinstance(reply, Conflict):
            if not apply_row(name, account, reply.rows.rows.get(row_key(name))):
                await self._back_off(name)
            return False
        if not isinstance(reply, Committed):
            log_event(
                "allotment-unknown",
                Level.WARNING,
                workspace=name,
                ceiling=change.ceiling,
            )
            await self._back_off(name)
            return True
        del self._failures[name]
        _log_closed(name, account.earlier_incarnation)
        account.confirm_write(change, reply.version)
        account.requested = 0
        log_event(
            "allotment-written",
            workspace=name,
            ceiling=change.ceiling,
            spent=account.spent,
            free=account.free(),
            closed=account.row.closed,
            closed_spent=account.row.closed_spent,
        )
        return True

    async def close(self, name: str, account: Account) -> bool | None:
        """Remove this instance's entry from the row.

        :returns: ``True`` if the account is closed, the outcome of the write is unknown
            or there is nothing to return; ``None`` if the row has changed and the write
            should be retried; ``False`` otherwise
        """
        if account.row.find(account.holder, account.boot) is None:
            return account.unspent == 0
        spent = account.spent
        version = account.version or ABSENT
        row = account.close()
        reply = await self._store.commit(make_transaction(name, version, row))
        if isinstance(reply, Conflict):
            parsed = apply_row(name, account, reply.rows.rows.get(row_key(name)))
            return None if parsed else False
        if isinstance(reply, Unreachable):
            account.reopen()
            return False
        if isinstance(reply, Committed):
            account.confirm_close(row, reply.version)
        log_event("allotment-closed", workspace=name, spent=spent, reply=reply)
        return True

    async def _back_off(self, name: str) -> None:
        """Wait after a failed call, longer after each consecutive failure."""
        doublings = min(MAX_DOUBLINGS, self._failures[name])
        self._failures[name] += 1
        max_delay = RETRY_SECONDS * 2**doublings
        await sleep(uniform(RETRY_SECONDS, max_delay), self._clock)


def _log_closed(name: str, closed: Allotment | None) -> None:
    """Log the incarnation that a write has closed, if any."""
    if closed is None:
        return
    log_event(
        "incarnation-closed",
        workspace=name,
        boot=closed.boot,
        ceiling=closed.ceiling,
        spent=closed.spent,
        lent=closed.lent,
        unaccounted=closed.ceiling - closed.spent,
    )


def apply_row(name: str, account: Account, row: Row | None) -> bool:
    """Update an account from its row.

    A malformed row leaves the account as it is and is not overwritten.

    :param row: ``None`` if the row does not exist
    :returns: whether the row could be parsed
    """
    if row is None:
        account.read(EMPTY_ROW, ABSENT)
        return True
    try:
        read = AllotmentRow.from_value(row.value)
    except MalformedRowError as error:
        log_event("allotment-malformed", Level.ERROR, workspace=name, error=error)
        return False
    account.read(read, row.version)
    return True


def row_key(workspace: str) -> str:
    """Return the key of a workspace's row."""
    return f"{TABLE}/{workspace}"


def make_transaction(workspace: str, version: int, row: AllotmentRow) -> Transaction:
    """Return a write of a row on condition that its version has not changed."""
    key = row_key(workspace)
    return Transaction(
        "allotment", (Condition(key, version),), (Write(key, row.to_value()),)
    )
