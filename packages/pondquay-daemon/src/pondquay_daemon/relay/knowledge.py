"""What an instance knows of the fleet: the configuration and the upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routes.table import RouteTable
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.feeds import TableListener

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routes.entities import Service
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.upstreamrecords import Departure, UpstreamRecord
    from pondquay.tables import JsonObject
    from pondquay_daemon.relay.border import Border
    from pondquay_daemon.relay.store import RowChange, Snapshot


# Rows that are remembered as malformed, 200 bytes each. Each one beyond is logged at
# each reading.
MAX_MALFORMED = 1024


class ConfigurationView(TableListener):
    """The newest configuration that was heard of; its version only rises.

    :param on_change: called with each new table
    """

    def __init__(self, border: Border, on_change: Callable[[RouteTable], None]) -> None:
        self._border = border
        self._key = border.store_names.configuration[1]
        self._on_change = on_change
        self.table: RouteTable | None = None
        self.value: JsonObject | None = None

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take in the table as a whole."""
        for row in snapshot.rows:
            if row.key == self._key:
                self.offer(row.value)

    def apply_change(self, change: RowChange) -> None:
        """Take in one row."""
        if change.key == self._key and change.value is not None:
            self.offer(change.value)

    @property
    def version(self) -> int:
        """The version in force here, 0 if there is none."""
        return 0 if self.table is None else self.table.version

    def find_service(self, name: str) -> Service | None:
        """Return a service, ``None`` if the configuration has none of this name."""
        return None if self.table is None else self.table.service(name)

    def cold_rate(self, service: str) -> float:
        """Return the requests a second that a cold upstream bears, 0 for no bound."""
        found = self.find_service(service)
        return 0.0 if found is None else found.cold_rate

    def cold_seconds(self, service: str) -> float:
        """Return the seconds for which an upstream that has started is cold."""
        found = self.find_service(service)
        return 0.0 if found is None else found.cold_seconds

    def offer(self, value: JsonObject) -> bool:
        """Take in a configuration; tell whether it is newer than the one known."""
        known = self.version
        if self.value is not None and value == self.value:
            return False
        try:
            configuration = self._border.read_configuration(value)
        except MalformedValueError as error:
            log_event("configuration-malformed", Level.ERROR, error=error)
            return False
        if configuration.version <= known:
            return False
        self.table = RouteTable(configuration)
        self.value = value
        log_event(
            "configuration-in-force",
            version=configuration.version,
            before=known,
            routes=len(configuration.routes),
        )
        self._on_change(self.table)
        return True


class UpstreamView(TableListener):
    """Keeps the directory of upstreams up to date with the store's list.

    :param on_departure: called with the news that an upstream leaves
    :param on_gone: called with the name of a life that the list names no more
    :ivar malformed: rows that name no upstream to use, with their versions and what is
        wrong with them
    """

    def __init__(
        self,
        border: Border,
        directory: UpstreamDirectory,
        on_departure: Callable[[Departure], None],
        on_gone: Callable[[str], None],
    ) -> None:
        self._border = border
        self._on_departure = on_departure
        self._on_gone = on_gone
        self.directory = directory
        self.known = False
        self.malformed: dict[str, tuple[int, str]] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take in the list as a whole."""
        records: dict[str, tuple[UpstreamRecord, int]] = {}
        listed = {row.key for row in snapshot.rows}
        for gone in [one for one in self.malformed if one not in listed]:
            del self.malformed[gone]
        for row in snapshot.rows:
            record = self._read(row.key, row.version, row.value)
            if record is not None:
                records[row.key] = (record, row.version)
        before = {key: self.directory.find_listed(key) for key in records}
        changed = self.directory.replace(records, snapshot.version)
        for key, known in before.items():
            self._note_ended(known, key)
        if self.known:
            # A first list is all new, and is told by its count alone.
            for one in changed:
                missing_since = one.missing_since is not None
                self._note(
                    "upstream-vanished" if missing_since else "upstream-changed", one
                )
        self.known = True
        log_event("upstreams-read", count=len(records), version=snapshot.version)

    def apply_change(self, change: RowChange) -> None:
        """Take in one row of the list."""
        if change.value is None:
            self.malformed.pop(change.key, None)
            removed = self.directory.remove(change.key, change.version)
            self._note("upstream-vanished", removed)
            return
        record = self._read(change.key, change.version, change.value)
        if record is None:
            return
        before = self.directory.find_listed(change.key)
        self._note("upstream-changed", self.directory.put(record, change.version))
        self._note_ended(before, change.key)

    def note_synced(self) -> None:
        """Pass on that the list is being followed."""
        self.directory.note_synced()

    def note_disconnected(self) -> None:
        """Pass on that the list cannot be followed."""
        self.directory.note_disconnected()

    def describe(self) -> list[dict[str, object]]:
        """Return what is known of each upstream, for operators."""
        left = set(self.directory.list_departed())
        return [
            {
                "upstream": one.record.name,
                "born": one.record.born,
                "service": one.record.service,
                "address": str(one.record.address),
                "leaving": one.leaving,
                "vanished": one.missing_since is not None,
                "left": one.name in left,
                "running": one.running,
                "reading": one.prompts.own,
                "waiting": one.prompts.waiting,
                "failures": one.circuit.failures,
                "cold_until": one.cold_until,
                "backoff_until": one.backoff_until,
                "limit": one.limit.rate,
            }
            for one in self.directory.all()
        ]

    def _read(self, key: str, version: int, value: JsonObject) -> UpstreamRecord | None:
        """Return what a row says, ``None`` if it names no upstream to use."""
        try:
            record = self._border.read_upstream(key, value)
        except MalformedValueError as error:
            self._note_malformed(key, version, error)
            return None
        self.malformed.pop(key, None)
        return record

    def _note_malformed(
        self, key: str, version: int, error: MalformedValueError
    ) -> None:
        """Leave out what a row named before, and say so once for each change."""
        if self.malformed.get(key, (0, ""))[0] < version:
            log_event(
                "row-malformed", Level.ERROR, upstream=key, version=version, error=error
            )
        if key in self.malformed or len(self.malformed) < MAX_MALFORMED:
            self.malformed[key] = (version, str(error))
        self._note("upstream-unreadable", self.directory.discard(key, version))

    def _note_ended(self, before: KnownUpstream | None, key: str) -> None:
        """Tell that the life that a row named before has ended, if it has."""
        after = self.directory.find_listed(key)
        if before is not None and after is not before:
            self._on_gone(before.name)

    def _note(self, event: str, upstream: KnownUpstream | None) -> None:
        if upstream is None:
            return
        departure = self.directory.find_departure(upstream.name)
        if departure is not None:
            self._on_departure(departure)
        if upstream.missing_since is not None:
            self._on_gone(upstream.name)
        log_event(
            event,
            upstream=upstream.name,
            service=upstream.record.service,
            leaving=upstream.leaving,
            version=upstream.version,
        )
