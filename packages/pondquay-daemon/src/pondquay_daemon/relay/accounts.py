"""Token accounts of all workspaces at one instance, synchronized with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, gatherResults

from pondquay.budgets.accounts import Account, RefusalReason
from pondquay.budgets.allotments import AllotmentRow
from pondquay.budgets.headroom import plan_headroom, request_tokens
from pondquay.budgets.holders import has_idle_entry
from pondquay.errors import MalformedRowError
from pondquay.tables import ABSENT
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.allotmentrows import AllotmentRows
from pondquay_daemon.relay.demandholders import DemandHolders
from pondquay_daemon.relay.entryremovals import EntryRemovals
from pondquay_daemon.relay.feeds import TableListener
from pondquay_daemon.relay.loans import Loans, LoanSearch
from pondquay_daemon.relay.tokentransfers import TokenTransfers
from pondquay_daemon.tasks import Task, sleep, spawn

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.policy import RelayPolicy
    from pondquay.routes.table import RouteTable
    from pondquay.tables import JsonObject
    from pondquay_daemon.relay.loans import Lender
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.store import RowChange, Snapshot, Store

ADJUST_INTERVAL_SECONDS = 0.5
# Time in which starting instances discover each other before they claim allotments of
# unused workspaces.
STARTUP_SECONDS = 1.5
# Successive waits for tokens from the table before they are borrowed, in seconds.
TABLE_RETRY_WAITS = (0.02, 0.04, 0.08)
# Retry delay of callers that are refused while the table is unreachable.
OUTAGE_RETRY_SECONDS = 2.0
RETURN_UNSPENT_ATTEMPTS = 4
# Several lenders may write a row at the same time, of which one succeeds per round.
WRITE_ATTEMPTS = 10


class AccountBook(Task, TableListener):
    """Holds the accounts of this incarnation of an instance.

    At most one write per workspace is in flight, so that an account can track what a
    write without a response may have changed.

    :param holder: name of this instance
    :param boot: identifies this incarnation of the instance
    :param reachable: returns whether the last call to the table succeeded
    :param lender: borrows tokens from other instances
    :param knows_fleet: returns whether the list of instances has been read
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
        self._demand_holders = DemandHolders(clock, policy)
        self._reachable = reachable
        self._holder = holder
        self._boot = boot
        self._accounts: dict[str, Account] = {}
        self._writing: set[str] = set()
        self._unread: set[str] = set()
        self._removals = EntryRemovals(clock)
        self._transfers = TokenTransfers(clock, self._loans, reachable, metrics)
        self._closed = False
        self._startup_ends_at = 0.0

    def start(self) -> None:
        """Start adjusting the allotments periodically."""
        self._startup_ends_at = self.clock.seconds() + STARTUP_SECONDS
        self._loans.set_startup_end(self._startup_ends_at)
        self.repeat(ADJUST_INTERVAL_SECONDS, self._adjust_all)

    def apply_table(self, table: RouteTable) -> None:
        """Create or update the account of each prepaid workspace."""
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
            self._schedule_adjustment(workspace.name)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Mark all rows as unread, since changes may have been missed."""
        self._unread = set(self._accounts)

    def apply_change(self, change: RowChange) -> None:
        """Apply a change of one row."""
        if change.value is not None:
            self._apply_row(change.key, change.value, change.version)

    def unspent(self) -> int:
        """Return the tokens of all workspaces that can be reserved now."""
        return sum(max(0, account.unspent) for account in self._accounts.values())

    def reserved(self) -> int:
        """Return the tokens of all workspaces that running requests have reserved."""
        return sum(account.reserved for account in self._accounts.values())

    def unaccounted(self) -> int:
        """Return the tokens of all closed incarnations that are not known to be spent.

        They are those of all workspaces, by the rows as last read.
        """
        return sum(account.row.unaccounted for account in self._accounts.values())

    def held_by_demand(self) -> int:
        """Return the number of workspaces held because of the demand here."""
        return len(self._demand_holders)

    def planned_removals(self) -> int:
        """Return the number of idle entries that this instance is about to remove."""
        return len(self._removals)

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the state of each workspace's account, for operators."""
        return {name: account.describe() for name, account in self._accounts.items()}

    async def obtain(
        self, request: str, workspace: str, tokens: int, max_wait_seconds: float
    ) -> RefusalReason | None:
        """Reserve tokens; request more from the table or borrow them if necessary.

        :param request: name of the request, for the logs
        :param max_wait_seconds: limit of the time spent waiting for the table
        :returns: the reason if they cannot be reserved, ``None`` otherwise
        """
        account = self._accounts[workspace]
        account.demand.note(tokens, self.clock.seconds())
        refused = account.reserve(tokens)
        until = self.clock.seconds() + max_wait_seconds
        for wait in TABLE_RETRY_WAITS if self._holds(workspace) else ():
            if refused in (None, RefusalReason.EXHAUSTED) or not self._reachable():
                break
            if self.clock.seconds() + wait > until:
                break
            request_tokens(account, tokens)
            self._schedule_adjustment(workspace)
            await sleep(wait, self.clock)
            refused = account.reserve(tokens)
        account.requested = 0
        search = LoanSearch()
        if refused is not None:
            refused = await self._loans.borrow(
                account, workspace, tokens, search, holds=self._holds(workspace)
            )
        if refused is RefusalReason.ELSEWHERE and not self._reachable():
            refused = RefusalReason.OUT_OF_REACH
        self._log_reservation(request, workspace, account, tokens, refused, search)
        self._schedule_adjustment(workspace)
        return refused

    def retry_after_seconds(self, refused: RefusalReason) -> float:
        """Return the seconds after which a refused caller should retry.

        An instance that has not read the workspace's row yet has usually just started
        and can borrow only once links are open, so the caller waits until the startup
        period ends.
        """
        default_delay = self._policy.come_back_seconds
        if refused is RefusalReason.OUT_OF_REACH:
            return OUTAGE_RETRY_SECONDS
        if refused is RefusalReason.UNKNOWN:
            return max(default_delay, self._startup_ends_at - self.clock.seconds())
        return default_delay

    def _log_reservation(
        self,
        request: str,
        workspace: str,
        account: Account,
        tokens: int,
        refused: RefusalReason | None,
        search: LoanSearch,
    ) -> None:
        """Log the result of a reservation and the account's state."""
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
            unaccounted=account.row.unaccounted,
            asked=search.asked,
            received=search.received,
            row=account.version or ABSENT,
            store="up" if self._reachable() else "away",
        )

    def lend(self, workspace: str, tokens: int, headroom: int) -> int:
        """Lend tokens to a peer; return how many.

        :param tokens: tokens that the peer needs now
        :param headroom: tokens that the peer requests beyond that; 0 if it holds an
            allotment
        """
        account = self._accounts.get(workspace)
        if account is None or self._closed:
            return 0
        lent = self._transfers.lend(workspace, account, tokens, headroom)
        self._schedule_adjustment(workspace)
        return lent

    def co_lenders(self) -> frozenset[str]:
        """Return the instances that lend for the same workspaces as this instance."""
        return self._loans.co_lenders(self._accounts)

    def receive_loan(
        self, workspace: str, tokens: int, *, returned: bool = False
    ) -> None:
        """Credit tokens that a peer has transferred.

        :param returned: whether the peer transfers them without a request
        """
        account = self._accounts.get(workspace)
        if account is not None:
            self._transfers.receive(workspace, account, tokens, returned=returned)

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Replace a reservation by the tokens that were used."""
        self._accounts[workspace].settle(reserved, used)

    async def return_unspent(self) -> None:
        """Close the allotments, which returns unspent tokens to the budgets.

        The tokens of an allotment that was certainly not closed are transferred to a
        peer, unless each attempt failed because the row had changed.
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
            self._loans.transfer_all(name, account)

    async def _close(self, name: str, account: Account) -> bool | None:
        if account.version is None or account.reserved or name in self._writing:
            return False
        return await self._rows.close(name, account)

    def _apply_row(self, key: str, value: JsonObject, version: int) -> None:
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
        self._schedule_adjustment(key)

    def _schedule_adjustment(self, name: str) -> None:
        if name in self._writing or self._closed:
            return
        account = self._accounts[name]
        holds = self._update_holding(name, account)
        if holds:
            self._removals.cancel(name)
        else:
            self._transfers.adjust(name, account)
        if not self._reachable():
            return
        if name in self._unread:
            # A borrower reads the row only after its first request, to compute its
            # headroom from the remaining tokens and the demand of other instances.
            is_due = holds or account.demand.largest > 0
        elif holds:
            is_due = self._has_plan(account)
        else:
            is_due = self._removals.is_due(name, account)
        if is_due:
            self._writing.add(name)
            spawn(self._adjust(name), "AccountBook")

    def _holds(self, name: str) -> bool:
        """Return whether this instance should hold an allotment of a workspace."""
        return name in self._demand_holders or self._loans.lends(name)

    def _update_holding(self, name: str, account: Account) -> bool:
        """Decide anew, while the table can be written, and return the decision."""
        if self._loans.lends(name):
            self._demand_holders.discard(name)
            return True
        if self._reachable() and account.version is not None:
            self._demand_holders.update(name, account)
        return name in self._demand_holders

    def _may_claim(self, account: Account) -> bool:
        """Return whether this instance may claim an allotment now.

        During the startup period it may not claim allotments of unused workspaces.
        """
        now = self.clock.seconds()
        return now >= self._startup_ends_at or not _is_unclaimed(account, now)

    def _has_plan(self, account: Account) -> bool:
        if not self._may_claim(account):
            return False
        return plan_headroom(account, self.clock.seconds()) is not None

    async def _adjust_all(self) -> None:
        for name in self._accounts:
            self._schedule_adjustment(name)

    async def _adjust(self, name: str) -> None:
        account = self._accounts[name]
        try:
            if name in self._unread:
                self._unread.discard(name)
                if not await self._rows.read(name, account):
                    self._unread.add(name)
                    return
            for _ in range(WRITE_ATTEMPTS):
                if await self._write_row(name, account):
                    break
        finally:
            self._writing.discard(name)
        if account.requested > account.unspent:
            self._schedule_adjustment(name)

    async def _write_row(self, name: str, account: Account) -> bool:
        """Write or close this instance's entry, if that is due.

        The decision is made anew for each attempt: after a conflict, the row may show
        that the demand is elsewhere.

        :returns: ``False`` if the row has changed and the write should be retried
        """
        if self._update_holding(name, account):
            return not self._may_claim(account) or await self._rows.write(name, account)
        if not has_idle_entry(account):
            return True
        if account.has_pending_decrease:
            return await self._rows.write(name, account)
        return await self._rows.close(name, account) is not None


def _is_unclaimed(account: Account, now: float) -> bool:
    """Return whether no instance holds an allotment and this one has no demand."""
    return not account.row.holders and not account.demand.rate(now)
