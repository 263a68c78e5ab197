"""The rows of budgets in the store: read, written under their version, closed."""

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
    from pondquay.tables import Row
    from pondquay_daemon.relay.store import Store

TABLE = "allotments"
# Pause after a failed call, and how often it doubles after several in a row: the table
# turns writes away that it cannot take, and those that come again at once keep it full.
RETRY_SECONDS = 0.1
MAX_DOUBLINGS = 4


class AllotmentRows:
    """Keeps accounts in step with their rows, one call for each at a time."""

    def __init__(self, clock: IReactorTime, store: Store) -> None:
        self._clock = clock
        self._store = store
        self._failures: Counter[str] = Counter()

    async def read(self, name: str, account: Account) -> bool:
        """Read a workspace's row; tell whether that succeeded."""
        reply = await self._store.read_row(row_key(name))
        if isinstance(reply, Unreachable):
            await self._pause(name)
            return False
        if not take_row(name, account, reply):
            await self._pause(name)
            return False
        return True

    async def write(self, name: str, account: Account) -> bool:
        """Write what is planned; ``False`` if another's write came before."""
        now = self._clock.seconds()
        headroom = plan_headroom(account, now)
        if headroom is None:
            return True
        change = account.propose(headroom, now)
        account.begin_write(change)
        transaction = make_transaction(name, account.version or ABSENT, change.row)
        reply = await self._store.commit(transaction)
        if isinstance(reply, Conflict):
            if not take_row(name, account, reply.rows.rows.get(row_key(name))):
                await self._pause(name)
            return False
        if not isinstance(reply, Committed):
            log_event(
                "allotment-unknown",
                Level.WARNING,
                workspace=name,
                ceiling=change.ceiling,
            )
            await self._pause(name)
            return True
        del self._failures[name]
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
        """Write one account's end.

        :returns: whether it ended, ``None`` to try again
        """
        if account.row.find(account.holder, account.boot) is None:
            return account.unspent == 0
        spent = account.spent
        version = account.version or ABSENT
        row = account.close()
        reply = await self._store.commit(make_transaction(name, version, row))
        if isinstance(reply, Conflict):
            taken = take_row(name, account, reply.rows.rows.get(row_key(name)))
            return None if taken else False
        if isinstance(reply, Unreachable):
            account.reopen()
            return False
        log_event("allotment-closed", workspace=name, spent=spent, reply=reply)
        return True

    async def _pause(self, name: str) -> None:
        """Wait after a failed call, longer after each further one."""
        doublings = min(MAX_DOUBLINGS, self._failures[name])
        self._failures[name] += 1
        longest = RETRY_SECONDS * 2**doublings
        await sleep(uniform(RETRY_SECONDS, longest), self._clock)


def take_row(name: str, account: Account, row: Row | None) -> bool:
    """Take in a row as it was read, ``None`` if it is not there.

    Of a row that nobody can read the account learns nothing: it spends what it was
    known to hold, and writes nothing over what may stand there.

    :returns: whether the row could be read
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
    """Return the write of a row that must still be at a version."""
    key = row_key(workspace)
    return Transaction(
        "allotment", (Condition(key, version),), (Write(key, row.to_value()),)
    )
