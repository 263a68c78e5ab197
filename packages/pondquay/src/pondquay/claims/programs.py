"""Table programs that claim requests and release claims.

A claim is a row that only its claimant may delete. No timer and no other instance
releases it, so a claimant that was paused for any length does no harm.
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

    :param claimant: the instance that made it, in that one of its lives
    :param nonce: random, made for this one claim
    :param finished: the request ran and its answer was whole
    """

    claimant: str
    nonce: str
    finished: bool = False


@dataclass(frozen=True, slots=True)
class Claimed:
    """The request is ours alone: it may run, once."""


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another attempt claimed the request before."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """The claim may stand or come to stand: do not run, and release it later."""


_CLAIM: TypeAdapter[ClaimRow] = TypeAdapter(ClaimRow)


def claim_key(request: RequestName) -> str:
    """Return the key of a request's claim."""
    return f"{CLAIM_PREFIX}{request}"


def load_claim(row: Row | None) -> ClaimRow | None:
    """Read a claim from its row."""
    return None if row is None else _CLAIM.validate_python(row.value)


ClaimOutcome = Claimed | AlreadyClaimed | ClaimUnknown | Unreachable


def claim_request(
    request: RequestName, claimant: str, nonce: str
) -> Program[ClaimOutcome]:
    """Claim a request before any byte of it goes to an upstream."""
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
    standing = load_claim(rows.rows.get(key))
    if standing is None:
        return Unreachable() if isinstance(reply, Conflict) else ClaimUnknown()
    return Claimed() if standing.nonce == nonce else AlreadyClaimed(standing)


@dataclass(frozen=True, slots=True)
class Released:
    """The claim no longer stands, or never was ours."""


def release_claim(request: RequestName, nonce: str) -> Program[Released | Unreachable]:
    """Delete our own claim on a request that certainly did not run."""
    return (yield from _change_claim(request, nonce, None))


def finish_claim(request: RequestName, nonce: str) -> Program[Released | Unreachable]:
    """Note in our own claim that the request ran and its answer was whole."""
    finished = ClaimRow(claimant="", nonce=nonce, finished=True)
    return (yield from _change_claim(request, nonce, finished))


def _change_claim(
    request: RequestName, nonce: str, changed: ClaimRow | None
) -> Program[Released | Unreachable]:
    key = claim_key(request)
    rows = yield from read_rows(key)
    if isinstance(rows, Unreachable):
        return rows
    standing = load_claim(rows.rows.get(key))
    if standing is None or standing.nonce != nonce:
        return Released()
    value = None if changed is None else _CLAIM.dump_python(changed, mode="json")
    transaction = Transaction(
        f"claim/{nonce}/change",
        (Condition(key, rows.version(key)),),
        (Write(key, value),),
    )
    reply = yield from commit_rows(transaction)
    return Released() if isinstance(reply, Committed) else Unreachable()
