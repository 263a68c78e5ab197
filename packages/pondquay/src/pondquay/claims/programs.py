"""Table programs that claim requests and release claims.

A claim is a row that only its claimant deletes. It does not expire, so a claimant may
be paused for any time without another instance running the request.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    Conflict,
    Transaction,
    Unreachable,
    Write,
    commit_rows,
    read_rows,
)

if TYPE_CHECKING:
    from pondquay.names import RequestName
    from pondquay.tables import Program, Row

CLAIM_PREFIX = "claim/"


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """A claim on a request.

    :param claimant: incarnation of the instance that made the claim, empty once
        finished
    :param nonce: random identifier of the claim
    :param finished: whether the request ran and its response was complete
    """

    claimant: str
    nonce: str
    finished: bool = False


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim succeeded: the request may run once."""


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another attempt has claimed the request."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """The claim may be stored now or later: the request must not run.

    The claimant must release the claim later.
    """


_CLAIM: TypeAdapter[ClaimRow] = TypeAdapter(ClaimRow)


def claim_key(request: RequestName) -> str:
    """Return the key of a request's claim."""
    return f"{CLAIM_PREFIX}{request}"


def load_claim(row: Row | None) -> ClaimRow | None:
    """Parse a claim row."""
    return None if row is None else _CLAIM.validate_python(row.value)


ClaimOutcome = Claimed | AlreadyClaimed | ClaimUnknown | Unreachable


def claim_request(
    request: RequestName, claimant: str, nonce: str
) -> Program[ClaimOutcome]:
    """Claim a request before any byte of it is sent to an upstream."""
    key = claim_key(request)
    value = _CLAIM.dump_python(ClaimRow(claimant, nonce), mode="json")
    transaction = Transaction(
        f"claim/{nonce}", (Condition(key, ABSENT),), (Write(key, value),)
    )
    reply = yield from commit_rows(transaction)
    if isinstance(reply, Committed):
        return Claimed()
    if isinstance(reply, Unreachable):
        return reply
    rows = yield from read_rows(key)
    if isinstance(rows, Unreachable):
        return ClaimUnknown()
    existing = load_claim(rows.rows.get(key))
    if existing is None:
        return Unreachable() if isinstance(reply, Conflict) else ClaimUnknown()
    return Claimed() if existing.nonce == nonce else AlreadyClaimed(existing)


@dataclass(frozen=True, slots=True)
class Released:
    """The claim was deleted or finished, or no claim with the nonce was found."""


def release_claim(request: RequestName, nonce: str) -> Program[Released | Unreachable]:
    """Delete the claim with this nonce; its request must certainly not have run."""
    return (yield from _change_claim(request, nonce, None))


def finish_claim(request: RequestName, nonce: str) -> Program[Released | Unreachable]:
    """Mark the claim with this nonce as finished, after the complete response."""
    finished = ClaimRow(claimant="", nonce=nonce, finished=True)
    return (yield from _change_claim(request, nonce, finished))


def _change_claim(
    request: RequestName, nonce: str, changed: ClaimRow | None
) -> Program[Released | Unreachable]:
    key = claim_key(request)
    rows = yield from read_rows(key)
    if isinstance(rows, Unreachable):
        return rows
    existing = load_claim(rows.rows.get(key))
    if existing is None or existing.nonce != nonce:
        return Released()
    value = None if changed is None else _CLAIM.dump_python(changed, mode="json")
    transaction = Transaction(
        f"claim/{nonce}/change",
        (Condition(key, rows.version(key)),),
        (Write(key, value),),
    )
    reply = yield from commit_rows(transaction)
    return Released() if isinstance(reply, Committed) else Unreachable()
