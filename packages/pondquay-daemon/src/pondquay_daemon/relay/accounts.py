"""The accounts of all workspaces at one instance, kept in step with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, gatherResults

from pondquay.budgets.accounts import Account, RefusalReason
from pondquay.budgets.allotments import AllotmentRow
from pondquay.budgets.headroom import plan_headroom, request_tokens
from pondquay.errors import MalformedRowError
from pondquay.tables import ABSENT
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.allotmentrows import AllotmentRows
from pondquay_daemon.relay.feeds import TableListener
from pondquay_daemon.relay.loans import Loans
from pondquay_daemon.tasks import Task, sleep, spawn

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from twisted.internet.interfaces import IReactorTime

    from pondquay.policy import RelayPolicy
    from pondquay.routes.table import RouteTable
    from pondquay.tables import JsonObject
    from pondquay_daemon.relay.loans import Lender
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.store import RowChange, Snapshot, Store

ADJUST_SECONDS = 0.5
# On its first start a fleet learns who belongs to it, before anyone holds anything.
STARTUP_SECONDS = 1.5
# Waits for tokens to come from the table, in turn, before a request is refused.
OBTAIN_WAITS = (0.02, 0.04, 0.08)
# Seconds after which a caller that was refused should come back while the table is out
# of reach: an outage lasts.
OUTAGE_RETRY_SECONDS = 2.0
RETURN_UNSPENT_ATTEMPTS = 4
# As often as the others of ten lenders may come first, where all write a row at once.
WRITE_ATTEMPTS = 10


class AccountBook(Task, TableListener):
    """All accounts of this life of an instance.

    For each workspace one write is under way at most, so what a lost answer can have
    done is known to the account.

    :param reachable: tells whether the table answered lately
    :param lender: asks other instances for tokens
    :param knows_fleet: tells whether the list of instances was read
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: Store,
        holder: str,
        boot: str,
        reachable: Callable[[], bool],
        lender: Lender,
        knows_fleet: Callable[[], bool],
        metrics: RelayMetrics,
        policy: RelayPolicy,
    ) -> None:
        super().__init__(clock)
        self._metrics = metrics
        self._policy = policy
        self._loans = Loans(clock, holder, lender, reachable, knows_fleet, policy)
        self._rows = AllotmentRows(clock, store)
        self._reachable = reachable
        self._holder = holder
        self._boot = boot
        self._accounts: dict[str, Account] = {}
        self._writing: set[str] = set()
        self._unread: set[str] = set()
        self._refilling: set[str] = set()
        self._closed = False
        self._settled_at = 0.0

    def start(self) -> None:
        """Begin to adjust the allotments."""
        self._settled_at = self.clock.seconds() + STARTUP_SECONDS
        self._loans.settle_until(self._settled_at)
        self.repeat(ADJUST_SECONDS, self._adjust_all)

    def apply_table(self, table: RouteTable) -> None:
        """Take in what each workspace has prepaid."""
        for workspace in table.configuration.workspaces:
            if workspace.prepaid is None:
                continue
            account = self._accounts.get(workspace.name)
            if account is None:
                account = Account(
                    self._holder, self._boot, workspace.prepaid, policy=self._policy
                )
                self._accounts[workspace.name] = account
                self._unread.add(workspace.name)
            account.prepaid = workspace.prepaid
            self._adjust_soon(workspace.name)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Learn that changes may have been missed; rows are read when needed."""
        self._unread = set(self._accounts)

    def apply_change(self, change: RowChange) -> None:
        """Take in one row of the table."""
        if change.value is not None:
            self._take_row(change.key, change.value, change.version)

    def unspent(self) -> int:
        """Return the tokens that may be reserved now, of all workspaces."""
        return sum(max(0, one.unspent) for one in self._accounts.values())

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the accounts by workspace, for operators."""
        return {name: one.describe() for name, one in self._accounts.items()}

    async def obtain(
        self, request: str, workspace: str, tokens: int, max_wait_seconds: float
    ) -> RefusalReason | None:
        """Reserve tokens, asking the table for more if need be.

        :param request: who asks, for the logs
        :param max_wait_seconds: the most seconds that this may take
        :returns: why not, ``None`` if they are reserved
        """
        account = self._accounts[workspace]
        account.demand.note(tokens, self.clock.seconds())
        refused = account.reserve(tokens)
        until = self.clock.seconds() + max_wait_seconds
        for wait in OBTAIN_WAITS if self._loans.lends(workspace) else ():
            if refused in (None, RefusalReason.EXHAUSTED) or not self._reachable():
                break
            if self.clock.seconds() + wait > until:
                break
            request_tokens(account, tokens)
            self._adjust_soon(workspace)
            await sleep(wait, self.clock)
            refused = account.reserve(tokens)
        account.requested = 0
        if refused is not None:
            refused = await self._loans.borrow(account, workspace, tokens)
        if refused is RefusalReason.ELSEWHERE and not self._reachable():
            refused = RefusalReason.OUT_OF_REACH
        self._log_obtained(request, workspace, account, tokens, refused)
        self._adjust_soon(workspace)
        return refused

    def retry_after_seconds(self, refused: RefusalReason) -> float:
        """Return the seconds after which a refused caller should ask again.

        An instance that knows nothing yet of a budget has just started, perhaps with
        all others: until links stand, nobody lends.
        """
        soon = self._policy.come_back_seconds
        if refused is RefusalReason.OUT_OF_REACH:
            return OUTAGE_RETRY_SECONDS
        if refused is RefusalReason.UNKNOWN:
            return max(soon, self._settled_at - self.clock.seconds())
        return soon

    def _log_obtained(
        self,
        request: str,
        workspace: str,
        account: Account,
        tokens: int,
        refused: RefusalReason | None,
    ) -> None:
        """Tell what decided whether a request got its tokens."""
        if refused is not None:
            self._metrics.note_refused(refused)
        log_event(
            "tokens-reserved" if refused is None else "tokens-refused",
            Level.INFO if refused is None else Level.WARNING,
            request=request,
            workspace=workspace,
            reason=refused or "none",
            tokens=tokens,
            unspent=account.unspent,
            ceiling=account.ceiling,
            reserved=account.reserved,
            free=account.free(),
            left=account.remaining(),
            row=account.version or ABSENT,
            store="up" if self._reachable() else "away",
        )

    def lend(self, workspace: str, tokens: int, headroom: int) -> int:
        """Hand tokens to a peer that has none; return how many.

        :param headroom: tokens that are wanted besides, 0 from those with an allotment
        """
        account = self._accounts.get(workspace)
        if account is None or self._closed:
            return 0
        if account.unspent < tokens:
            request_tokens(account, tokens)
            if headroom:
                self._refill_soon(workspace, account, tokens)
        lent = account.lend_headroom(tokens, headroom)
        if headroom:
            # The borrower's demand is met from here and shows nowhere else.
            account.demand.note_lent(max(tokens, lent), self.clock.seconds())
        if lent:
            self._metrics.loans.labels("lent").inc(lent)
            log_event("tokens-lent", workspace=workspace, tokens=lent)
        self._adjust_soon(workspace)
        return lent

    def _refill_soon(self, workspace: str, account: Account, tokens: int) -> None:
        """Borrow for a borrower, unless the table can give what it needs.

        Other lenders that ask are told what is here: if each asked on for the other,
        tokens would go round.
        """
        if not self._loans.lends(workspace):
            return
        if self._reachable() and tokens <= account.max_headroom():
            return
        self._borrow_soon(workspace, self._loans.refill(account, workspace, tokens))

    def _borrow_soon(
        self, workspace: str, borrowing: Coroutine[Any, Any, None]
    ) -> None:
        """Borrow beside the requests, once at a time for each workspace."""
        if workspace in self._refilling:
            borrowing.close()
            return
        self._refilling.add(workspace)
        spawn(self._borrow(workspace, borrowing), "AccountBook")

    async def _borrow(
        self, workspace: str, borrowing: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await borrowing
        finally:
            self._refilling.discard(workspace)

    def co_lenders(self) -> frozenset[str]:
        """Return the instances that lend for the same workspaces as this one."""
        return self._loans.co_lenders(self._accounts)

    def receive_loan(
        self, workspace: str, tokens: int, *, returned: bool = False
    ) -> None:
        """Take tokens that a peer has handed over.

        :param returned: whether it had borrowed and did not need them
        """
        account = self._accounts.get(workspace)
        if account is not None:
            account.receive_loan(tokens)
            if returned:
                account.demand.note_returned(tokens, self.clock.seconds())
            self._metrics.loans.labels("borrowed").inc(tokens)
            log_event("tokens-borrowed", workspace=workspace, tokens=tokens)

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Replace a reservation by what was used of it."""
        self._accounts[workspace].settle(reserved, used)

    async def return_unspent(self) -> None:
        """Close this life's allotments: what was not spent returns to the budgets.

        Where the store certainly did not take the close, a peer gets the tokens.
        """
        self._closed = True
        steps = [
            Deferred.fromCoroutine(self._return_unspent(name, account))
            for name, account in self._accounts.items()
        ]
        await gatherResults(steps)

    async def _return_unspent(self, name: str, account: Account) -> None:
        closed: bool | None = None
        for _ in range(RETURN_UNSPENT_ATTEMPTS):
            closed = self._reachable() and await self._close(name, account)
            if closed is not None:
                break
        if closed is False:
            self._loans.give_away(name, account)

    async def _close(self, name: str, account: Account) -> bool | None:
        if account.version is None or account.reserved or name in self._writing:
            return False
        return await self._rows.close(name, account)

    def _take_row(self, key: str, value: JsonObject, version: int) -> None:
        account = self._accounts.get(key)
        if account is None:
            return
        if account.version is not None and version <= account.version:
            return
        if key in self._writing:
            return
        try:
            row = AllotmentRow.from_value(value)
        except MalformedRowError as error:
            log_event("allotment-malformed", Level.ERROR, workspace=key, error=error)
            return
        account.read(row, version)
        self._adjust_soon(key)

    def _adjust_soon(self, name: str) -> None:
        if name in self._writing or self._closed:
            return
        account = self._accounts[name]
        lends = self._loans.lends(name)
        if not lends:
            self._adjust_loans(name, account)
        if not self._reachable():
            return
        if name in self._unread:
            # A borrower reads a row once it has a request for it: what it may keep
            # ahead follows from what is left and who else asks for it.
            is_due = lends or account.demand.largest > 0
        else:
            is_due = lends and self._has_plan(account)
        if is_due:
            self._writing.add(name)
            spawn(self._adjust(name), "AccountBook")

    def _adjust_loans(self, name: str, account: Account) -> None:
        """Hand back what is not needed, or borrow ahead what is."""
        if account.unspent <= 0 and not account.demand.largest:
            return
        self._loans.return_surplus(name, account)
        if self._loans.lacks_ahead(account):
            self._borrow_soon(name, self._loans.top_up(account, name))

    def _may_hold(self, account: Account) -> bool:
        """Tell whether this instance may hold tokens by now, if it is to."""
        now = self.clock.seconds()
        return now >= self._settled_at or not _is_untouched(account, now)

    def _has_plan(self, account: Account) -> bool:
        if not self._may_hold(account):
            return False
        return plan_headroom(account, self.clock.seconds()) is not None

    async def _adjust_all(self) -> None:
        for name in self._accounts:
            self._adjust_soon(name)

    async def _adjust(self, name: str) -> None:
        account = self._accounts[name]
        try:
            if name in self._unread:
                self._unread.discard(name)
                if not await self._rows.read(name, account):
                    self._unread.add(name)
                    return
            writes = self._loans.lends(name) and self._may_hold(account)
            attempts = WRITE_ATTEMPTS if writes else 0
            for _ in range(attempts):
                if await self._rows.write(name, account):
                    break
        finally:
            self._writing.discard(name)


def _is_untouched(account: Account, now: float) -> bool:
    """Tell whether nobody holds or asked for tokens, as on a fleet's first start."""
    return not account.row.holders and not account.demand.rate(now)
