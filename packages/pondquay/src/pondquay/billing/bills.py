"""Bills and the segments in which instances write them to the table."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import TypeAdapter

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay.names import AttemptId, RequestName
    from pondquay.tables import JsonObject

SEGMENT_PREFIX = "segment/"


@dataclass(frozen=True, slots=True)
class Bill:
    """Tokens that one attempt of a request cost.

    The ledger is a set by request: of several bills of one request the first that is
    folded counts. Bills of the same attempt are the same bill.
    """

    workspace: str
    key: str
    attempt: str
    tokens: int


_BILLS: TypeAdapter[list[Bill]] = TypeAdapter(list[Bill])


def make_bill(request: RequestName, attempt: AttemptId, tokens: int) -> Bill:
    """Return the bill of one attempt."""
    return Bill(request.workspace, request.key, str(attempt), tokens)


def segment_key(writer: str, number: int) -> str:
    """Return the key of a segment; a writer counts its segments up."""
    return f"{SEGMENT_PREFIX}{writer}/{number:012d}"


def dump_segment(bills: Sequence[Bill]) -> JsonObject:
    """Return what is stored of a segment."""
    return {"bills": _BILLS.dump_python(list(bills), mode="json")}


def load_segment(value: JsonObject) -> list[Bill]:
    """Read a segment.

    :raises pydantic.ValidationError: if the row has another form
    """
    return _BILLS.validate_python(value["bills"])
