"""Rows of the store that record where streams may have begun, one for each service."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Annotated

import msgspec

from pondquay.routing.softwarerecords import (
    RecordStart,
    RecordState,
    ServiceKnowledge,
    ServiceRecord,
    SoftwareRecord,
)
from pondquay.tables import ABSENT, Condition, Transaction, Write
from pondquay_daemon.logs import Level, log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pondquay.routing.softwarerecords import States
    from pondquay.tables import JsonObject
    from pondquay_daemon.relay.store import Snapshot

TABLE = "software"
# Key of the row that tells since when the record lacks no version. Keys of services are
# digests, since a service's name may be longer than a key.
START_KEY = "start"
DIGEST_BYTES = 16
# Maximum number of rows that one transaction writes; others follow in the next one.
MAX_WRITES = 50

_Seconds = Annotated[float, msgspec.Meta(ge=0)]


class _StateDocument(msgspec.Struct, frozen=True):
    """The state of a version or of a set of routes."""

    active: bool
    left_at: _Seconds | None = None


class _ServiceDocument(msgspec.Struct, frozen=True):
    """The row of a service."""

    service: str
    versions: dict[str, _StateDocument]
    routes: dict[str, _StateDocument]


class _StartDocument(msgspec.Struct, frozen=True):
    """The row with the start of the record."""

    from_first_start: bool
    at: _Seconds | None = None


def name_row(service: str) -> str:
    """Return the key of a service's row."""
    return blake2b(service.encode(), digest_size=DIGEST_BYTES).hexdigest()


def pack_service(service: str, record: ServiceRecord) -> JsonObject:
    """Return the value of a service's row."""
    document = _ServiceDocument(
        service, _pack_states(record.versions), _pack_states(record.routes)
    )
    packed: JsonObject = msgspec.to_builtins(document)
    return packed


def _pack_states(states: States) -> dict[str, _StateDocument]:
    return {
        name: _StateDocument(state.active, state.left_at)
        for name, state in states.items()
    }


def pack_start(start: RecordStart) -> JsonObject:
    """Return the value of the row with the start of the record."""
    document = _StartDocument(start.from_first_start, start.at)
    packed: JsonObject = msgspec.to_builtins(document)
    return packed


@dataclass(frozen=True, slots=True)
class SoftwareTable:
    """The rows of the table, as of one read.

    :ivar versions: version of each row, by key
    :ivar malformed: keys of the rows that cannot be parsed; the record lacks theirs
    """

    record: SoftwareRecord
    versions: Mapping[str, int]
    malformed: frozenset[str]


def unpack_table(snapshot: Snapshot) -> SoftwareTable:
    """Return the record that the rows of the table hold.

    Without the versions of a malformed row the record is incomplete, so it has no start
    then.
    """
    start = None
    services = {}
    malformed = set()
    for row in snapshot.rows:
        try:
            if row.key == START_KEY:
                start = _unpack_start(row.value)
            else:
                service, record = _unpack_service(row.value)
                services[service] = record
        except (msgspec.ValidationError, RecursionError) as error:
            log_event("software-malformed", Level.ERROR, key=row.key, error=error)
            malformed.add(row.key)
    return SoftwareTable(
        SoftwareRecord(services, None if malformed else start, snapshot.now),
        {row.key: row.version for row in snapshot.rows},
        frozenset(malformed),
    )


def _unpack_start(value: JsonObject) -> RecordStart:
    document = msgspec.convert(value, _StartDocument)
    return RecordStart(document.from_first_start, document.at)


def _unpack_service(value: JsonObject) -> tuple[str, ServiceRecord]:
    document = msgspec.convert(value, _ServiceDocument)
    record = ServiceRecord(
        _unpack_states(document.versions), _unpack_states(document.routes)
    )
    return document.service, record


def _unpack_states(states: Mapping[str, _StateDocument]) -> States:
    return {
        name: RecordState(state.active, state.left_at) for name, state in states.items()
    }


def plan_writes(
    table: SoftwareTable,
    known: Mapping[str, ServiceKnowledge],
    unlisted: ServiceKnowledge,
    *,
    first_start: bool,
) -> Transaction | None:
    """Return the transaction that records what an instance knows.

    :param known: what it knows of services
    :param unlisted: what it knows of all other services
    :param first_start: whether the fleet has served no request before
    :returns: ``None`` if the record is up to date
    """
    record = table.record
    values: dict[str, JsonObject | None] = {}
    is_first = first_start and not table.versions
    # The first row that is written, so that no record without a row seems complete.
    if record.start is None:
        values[START_KEY] = pack_start(RecordStart(is_first))
    elif (start := record.start.update(record.now)) != record.start:
        values[START_KEY] = pack_start(start)
    values.update(dict.fromkeys(table.malformed - {START_KEY}))
    for service in record.services.keys() | known.keys():
        before = record.find(service)
        after = before.update(
            known.get(service, unlisted), record.now, is_first=is_first
        )
        if after != before:
            is_empty = not after.versions and not after.routes
            values[name_row(service)] = (
                None if is_empty else pack_service(service, after)
            )
    if not values:
        return None
    keys = list(values)[:MAX_WRITES]
    return Transaction(
        "software",
        tuple(
            Condition(f"{TABLE}/{key}", table.versions.get(key, ABSENT)) for key in keys
        ),
        tuple(Write(f"{TABLE}/{key}", values[key]) for key in keys),
    )
