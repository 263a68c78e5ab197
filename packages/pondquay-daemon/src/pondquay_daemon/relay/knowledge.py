"""An instance's view of the configuration and of the upstreams."""

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


# Maximum number of malformed rows that are recorded, with about 200 bytes each; others
# are logged on each read.
MAX_MALFORMED = 1024


class ConfigurationView(TableListener):
    """Holds the newest known configuration; its version never decreases.

    :param on_change: called with each new route table
    """

    def __init__(self, border: Border, on_change: Callable[[RouteTable], None]) -> None:
        self._border = border
        self._key = border.store_names.configuration[1]
        self._on_change = on_change
        self.table: RouteTable | None = None
        self.value: JsonObject | None = None

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot of the table."""
        for row in snapshot.rows:
            if row.key == self._key:
                self.offer(row.value)

    def apply_change(self, change: RowChange) -> None:
        """Apply a change of one row."""
        if change.key == self._key and change.value is not None:
            self.offer(change.value)

    @property
    def version(self) -> int:
        """The version in force on this instance, 0 if there is none."""
        return 0 if self.table is None else self.table.version

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, ``None`` if the configuration lacks it."""
        return None if self.table is None else self.table.service(name)

    def cold_rate(self, service: str) -> float:
        """Return the requests per second that a cold upstream takes, 0 for no limit."""
        found = self.find_service(service)
        return 0.0 if found is None else found.cold_rate

    def cold_seconds(self, service: str) -> float:
        """Return the seconds for which an upstream is cold after its start."""
        found = self.find_service(service)
        return 0.0 if found is None else found.cold_seconds

    def offer(self, value: JsonObject) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        current = self.version
        if self.value is not None and value == self.value:
            return False
        try:
            configuration = self._border.read_configuration(value)
        except MalformedValueError as error:
            log_event("configuration-malformed", Level.ERROR, error=error)
            return False
        if configuration.version <= current:
            return False
        self.table = RouteTable(configuration)
        self.value = value
        log_event(
            "configuration-in-force",
            version=configuration.version,
            before=current,
            routes=len(configuration.routes),
        )
        self._on_change(self.table)
        return True


class UpstreamView(TableListener):
    """Updates the directory of upstreams from the store's list.

    :param on_departure: called with the departure of an upstream
    :param on_removed: called with the name of an incarnation that is no longer listed
    :ivar known: whether the list has been read
    :ivar malformed: malformed rows by key, with their versions and errors
    """

    def __init__(
        self,
        border: Border,
        directory: UpstreamDirectory,
        on_departure: Callable[[Departure], None],
        on_removed: Callable[[str], None],
    ) -> None:
        self._border = border
        self._on_departure = on_departure
        self._on_removed = on_removed
        self.directory = directory
        self.known = False
        self.malformed: dict[str, tuple[int, str]] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot of the list."""
        records: dict[str, tuple[UpstreamRecord, int]] = {}
        listed = {row.key for row in snapshot.rows}
        for unlisted in [name for name in self.malformed if name not in listed]:
            del self.malformed[unlisted]
        for row in snapshot.rows:
            record = self._read(row.key, row.version, row.value)
            if record is not None:
                records[row.key] = (record, row.version)
        before = {key: self.directory.find_listed(key) for key in records}
        changed = self.directory.replace(records, snapshot.version)
        for key, previous in before.items():
            self._report_ended(previous, key)
        if self.known:
            # All rows of the first snapshot are new; only their number is logged.
            for upstream in changed:
                is_missing = upstream.missing_since is not None
                self._report_change(
                    "upstream-vanished" if is_missing else "upstream-changed", upstream
                )
        self.known = True
        log_event("upstreams-read", count=len(records), version=snapshot.version)

    def apply_change(self, change: RowChange) -> None:
        """Apply a change of one row of the list."""
        if change.value is None:
            self.malformed.pop(change.key, None)
            removed = self.directory.remove(change.key, change.version)
            self._report_change("upstream-vanished", removed)
            return
        record = self._read(change.key, change.version, change.value)
        if record is None:
            return
        before = self.directory.find_listed(change.key)
        self._report_change(
            "upstream-changed", self.directory.put(record, change.version)
        )
        self._report_ended(before, change.key)

    def note_synced(self) -> None:
        """Record in the directory that the list is synchronized."""
        self.directory.note_synced()

    def note_disconnected(self) -> None:
        """Record in the directory that the list is unreachable."""
        self.directory.note_disconnected()

    def describe(self) -> list[dict[str, object]]:
        """Return the state of each upstream, for operators."""
        departed = set(self.directory.list_departed())
        return [
            {
                "upstream": upstream.record.name,
                "born": upstream.record.born,
                "service": upstream.record.service,
                "software": upstream.record.software,
                "address": str(upstream.record.address),
                "leaving": upstream.leaving,
                "vanished": upstream.missing_since is not None,
                "left": upstream.name in departed,
                "running": upstream.running,
                "heard_running": upstream.activity.heard_running,
                "prompt_tokens": upstream.activity.tokens,
                "heard_prompt_tokens": upstream.activity.heard_tokens,
                "seconds_per_token": upstream.pace.reading.value,
                "seconds_per_event": upstream.pace.events.value,
                "reading": upstream.prompts.own,
                "waiting": upstream.prompts.waiting,
                "failures": upstream.circuit.failures,
                "cold_until": upstream.cold_until,
                "backoff_until": upstream.backoff_until,
                "limit": upstream.limit.rate,
            }
            for upstream in self.directory.all()
        ]

    def _read(self, key: str, version: int, value: JsonObject) -> UpstreamRecord | None:
        """Return the record that a row holds, ``None`` if the row is malformed."""
        try:
            record = self._border.read_upstream(key, value)
        except MalformedValueError as error:
            self._record_malformed(key, version, error)
            return None
        self.malformed.pop(key, None)
        return record

    def _record_malformed(
        self, key: str, version: int, error: MalformedValueError
    ) -> None:
        """Discard the upstream of a malformed row; log the error once per version."""
        if self.malformed.get(key, (0, ""))[0] < version:
            log_event(
                "row-malformed", Level.ERROR, upstream=key, version=version, error=error
            )
        if key in self.malformed or len(self.malformed) < MAX_MALFORMED:
            self.malformed[key] = (version, str(error))
        self._report_change("upstream-unreadable", self.directory.discard(key, version))

    def _report_ended(self, previous: KnownUpstream | None, key: str) -> None:
        """Report the row's previous incarnation if it is no longer listed."""
        after = self.directory.find_listed(key)
        if previous is not None and after is not previous:
            self._on_removed(previous.name)

    def _report_change(self, event: str, upstream: KnownUpstream | None) -> None:
        if upstream is None:
            return
        departure = self.directory.find_departure(upstream.name)
        if departure is not None:
            self._on_departure(departure)
        if upstream.missing_since is not None:
            self._on_removed(upstream.name)
        log_event(
            event,
            upstream=upstream.name,
            service=upstream.record.service,
            software=upstream.record.software,
            leaving=upstream.leaving,
            version=upstream.version,
        )
