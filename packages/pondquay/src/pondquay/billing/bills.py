"""Bills, and the segments in which instances write them to the table."""

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
    """The tokens that an attempt of a request cost.

    A request is billed once, by the first of its bills that is folded into the ledger.
    Several bills of the same attempt are duplicates.

    :param key: the key that the caller gave the request
    """

    workspace: str
    key: str
    attempt: str
    tokens: int


_BILLS: TypeAdapter[list[Bill]] = TypeAdapter(list[Bill])


def make_bill(request: RequestName, attempt: AttemptId, tokens: int) -> Bill:
    """Return the bill of an attempt."""
    return Bill(request.workspace, request.key, str(attempt), tokens)


def segment_key(writer: str, number: int) -> str:
    """Return the key of a segment.

    :param number: sequence number of the segment among those of its writer
    """
    return f"{SEGMENT_PREFIX}{writer}/{number:012d}"


def dump_segment(bills: Sequence[Bill]) -> JsonObject:
    """Return the stored form of a segment."""
    return {"bills": _BILLS.dump_python(list(bills), mode="json")}


def load_segment(value: JsonObject) -> list[Bill]:
    """Parse the stored form of a segment.

    :raises pydantic.ValidationError: if the value is malformed
    """
    return _BILLS.validate_python(value["bills"])
