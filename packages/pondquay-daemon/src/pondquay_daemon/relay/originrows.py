"""Rows of the store that show where streams began, one for each incarnation.

They outlast a loss of all instances. An instance writes its row a few times a second at
most, so the latest streams are missing; what is missing counts as unknown.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from itertools import chain
from random import Random
from struct import iter_unpack
from typing import TYPE_CHECKING, Annotated

import msgspec
from twisted.internet.defer import Deferred

from pondquay.routing.softwarehistory import RECENT_SECONDS
from pondquay.routing.streamorigins import KEY_BYTES, StreamOrigin
from pondquay.tables import (
    ABSENT,
    Committed,
    Condition,
    Transaction,
    Unreachable,
    Write,
)
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.sharedreads import SharedRead
from pondquay_daemon.tasks import sleep, spawn, wait_at_most

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from twisted.internet.interfaces import IReactorTime

    from pondquay.tables import JsonObject, Row
    from pondquay_daemon.relay.store import CommitReply, Snapshot, Store

TABLE = "stream-origins"
# Maximum number of streams in a row, the latest ones.
MAX_ORIGINS = 256
# Pause between two writes of an instance: a minimum, and a part for each instance of
# the fleet, which bounds the writes of all.
MIN_WRITE_PAUSE_SECONDS = 0.25
WRITE_PAUSE_SECONDS = 0.005
# Minimum pause between reads for callers that take streams up.
MIN_READ_PAUSE_SECONDS = 1.0
# Minimum pause between searches of the rows that were read last.
MIN_SEARCH_PAUSE_SECONDS = 0.05
# Maximum number of rows that are parsed and searched in one turn of the event loop.
MAX_BATCH_ROWS = 16
# Maximum size of the keys of all rows that are kept between reads.
MAX_KEPT_BYTES = 4 * 1024 * 1024
# Maximum number of rows of ended incarnations that one instance deletes, one after each
# write or in place of it.
MAX_DELETED = 16


class _TimeDocument(msgspec.Struct, frozen=True):
    """What shows the age of a row.

    :param at: time of the write by the store's clock, in seconds
    """

    at: Annotated[float, msgspec.Meta(ge=0)]


class _OriginsDocument(_TimeDocument, frozen=True):
    """The row of an incarnation.

    :param origins: hexadecimal keys of streams without separators, by service and
        software version
    """

    origins: dict[str, dict[str, str]]


@dataclass(frozen=True, slots=True)
class RowOrigins:
    """The origins in a row.

    :param at: time of the write by the store's clock, in seconds
    :param keys: keys of streams without separators, by origin
    """

    at: float
    keys: Mapping[StreamOrigin, bytes]

    @property
    def size(self) -> int:
        """Number of bytes that the keys take."""
        return sum(map(len, self.keys.values()))

    def find(self, wanted: set[bytes]) -> dict[bytes, StreamOrigin]:
        """Return the origins of those of some streams that are in the row."""
        return {
            key: origin
            for origin, keys in self.keys.items()
            for key in wanted.intersection(_split_keys(keys))
        }


def pack_origins(origins: Mapping[bytes, StreamOrigin], at: float) -> JsonObject:
    """Return the value of a row.

    :param at: time by the store's clock, in seconds
    """
    keys: dict[str, dict[str, str]] = {}
    for key, origin in origins.items():
        versions = keys.setdefault(origin.service, {})
        versions[origin.software] = versions.get(origin.software, "") + key.hex()
    packed: JsonObject = msgspec.to_builtins(_OriginsDocument(at, keys))
    return packed


def unpack_origins(value: JsonObject) -> RowOrigins:
    """Return the origins in a row.

    :raises MalformedValueError: if the row is malformed
    """
    try:
        document = msgspec.convert(value, _OriginsDocument)
        keys = {
            StreamOrigin(service, software): bytes.fromhex(text)
            for service, versions in document.origins.items()
            for software, text in versions.items()
        }
    except (msgspec.ValidationError, ValueError, RecursionError) as error:
        raise MalformedValueError(f"origins of streams: {error}") from error
    if any(len(text) % KEY_BYTES for text in keys.values()):
        raise MalformedValueError("origins of streams: part of a key")
    return RowOrigins(document.at, keys)


def _split_keys(keys: bytes) -> Iterator[bytes]:
    return chain.from_iterable(iter_unpack(f"{KEY_BYTES}s", keys))


class RowCache:
    """Parsed rows, of which only those that have changed are parsed anew.

    Searches return to the event loop after each batch of rows.
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        # Version and content by key of the row.
        self._rows: dict[str, tuple[int, RowOrigins]] = {}

    async def search(self, wanted: set[bytes], now: float) -> dict[bytes, StreamOrigin]:
        """Return the origins of some streams that are in kept rows.

        :param now: time by the store's clock, in seconds
        """
        rows = [origins for _, origins in self._rows.values()]
        recent = (row if _is_recent(row.at, now) else None for row in rows)
        return await self._search(recent, wanted)

    async def update(
        self, snapshot: Snapshot, wanted: set[bytes]
    ) -> dict[bytes, StreamOrigin]:
        """Keep what was read, and return the origins of some streams that are in it."""
        return await self._search(self._parse_rows(snapshot), wanted)

    async def _search(
        self, rows: Iterable[RowOrigins | None], wanted: set[bytes]
    ) -> dict[bytes, StreamOrigin]:
        found: dict[bytes, StreamOrigin] = {}
        for number, row in enumerate(rows, 1):
            if row is not None:
                found.update(row.find(wanted))
            if number % MAX_BATCH_ROWS == 0:
                await sleep(0, self._clock)
        return found

    def _parse_rows(self, snapshot: Snapshot) -> Iterator[RowOrigins | None]:
        """Yield the content of each row, ``None`` if it is of no use.

        The latest rows are kept, since callers most likely take up their streams.
        """
        kept = {}
        size = 0
        for row in sorted(snapshot.rows, key=lambda row: row.version, reverse=True):
            origins = self._parse(row, snapshot.now)
            if origins is not None:
                size += origins.size
                if size <= MAX_KEPT_BYTES:
                    kept[row.key] = (row.version, origins)
            yield origins
        self._rows = kept

    def _parse(self, row: Row, now: float) -> RowOrigins | None:
        """Return the content of a row, ``None`` if it is too old or malformed."""
        version, origins = self._rows.get(row.key, (ABSENT, None))
        if origins is not None and version == row.version:
            return origins if _is_recent(origins.at, now) else None
        if _is_old(row, now):
            return None
        try:
            return unpack_origins(row.value)
        except MalformedValueError as error:
            log_event("origins-malformed", Level.ERROR, key=row.key, error=error)
            return None


class OriginRows:
    """Writes where streams began at this instance, and finds it for others.

    :param incarnation: name of this incarnation of the instance
    :param count_instances: returns the number of known instances
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: Store,
        incarnation: str,
        count_instances: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._store = store
        self._key = f"{TABLE}/{incarnation}"
        self._count_instances = count_instances
        self._origins: OrderedDict[bytes, StreamOrigin] = OrderedDict()
        self._has_changed = False
        self._is_writing = False
        self._random = Random()
        # Version of the row, ``None`` if unknown.
        self._version: int | None = None
        # Keys and versions of old rows that are left to delete, ``None`` before a read.
        self._excess: list[tuple[str, int]] | None = None
        # The store's time less this instance's.
        self._time_offset = 0.0
        self._cache = RowCache(clock)
        # Number of callers that wait for the origin of a stream, by key.
        self._wanted: Counter[bytes] = Counter()
        self._shared_search = SharedRead(
            clock, self._search_cache, MIN_SEARCH_PAUSE_SECONDS
        )
        self._shared_read = SharedRead(
            clock, self._read_origins, MIN_READ_PAUSE_SECONDS
        )

    def note(self, key: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began."""
        self._origins[key] = origin
        self._origins.move_to_end(key)
        if len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)
        self._has_changed = True
        if not self._is_writing:
            self._is_writing = True
            spawn(self._write_changes(), type(self).__name__)

    def forget(self, key: bytes) -> None:
        """Record that a stream was sent whole, so that it is hardly taken up."""
        self._origins.pop(key, None)

    async def find(self, key: bytes, seconds: float) -> StreamOrigin | None:
        """Return where a stream began.

        :param seconds: longest time to wait
        :returns: ``None`` if no row shows it or the store does not respond
        """
        search = Deferred.fromCoroutine(self._find(key))
        return await wait_at_most(search, seconds, self._clock, None)

    async def _find(self, key: bytes) -> StreamOrigin | None:
        self._wanted[key] += 1
        try:
            found = await self._shared_search.read()
            if found is None or key not in found:
                found = await self._shared_read.read()
        finally:
            self._wanted[key] -= 1
            if not self._wanted[key]:
                del self._wanted[key]
        return None if found is None else found.get(key)

    async def _search_cache(self) -> Mapping[bytes, StreamOrigin] | None:
        return await self._cache.search(set(self._wanted), self._now())

    async def _read_origins(self) -> Mapping[bytes, StreamOrigin] | None:
        snapshot = await self._read()
        if snapshot is None:
            return None
        return await self._cache.update(snapshot, set(self._wanted))

    def _now(self) -> float:
        """Return the store's time, as known from the latest read."""
        return max(0.0, self._clock.seconds() + self._time_offset)

    async def _read(self) -> Snapshot | None:
        snapshot = await self._store.read_table(TABLE)
        if isinstance(snapshot, Unreachable):
            return None
        self._time_offset = snapshot.now - self._clock.seconds()
        return snapshot

    async def _write_changes(self) -> None:
        """Write the row until it is up to date, with a pause after each write."""
        try:
            while self._has_changed or self._excess:
                await self._write_once()
                await sleep(self._choose_pause(), self._clock)
        finally:
            self._is_writing = False

    async def _write_once(self) -> None:
        """Write the row if it has changed, and delete an old one after a success."""
        if self._has_changed:
            self._has_changed = False
            if not await self._write():
                self._has_changed = True
                return
        if self._excess:
            await self._delete(*self._excess.pop())

    async def _delete(self, key: str, version: int) -> None:
        """Delete an old row; leave the others to the instance that was faster."""
        reply = await self._commit(f"{TABLE}/{key}", version, None)
        if not isinstance(reply, Committed):
            self._excess = []

    def _choose_pause(self) -> float:
        pause = WRITE_PAUSE_SECONDS * self._count_instances()
        return max(MIN_WRITE_PAUSE_SECONDS, pause)

    async def _write(self) -> bool:
        if self._version is None and not await self._prepare():
            return False
        value = pack_origins(self._origins, self._now())
        reply = await self._commit(self._key, self._version or ABSENT, value)
        self._version = reply.version if isinstance(reply, Committed) else None
        return self._version is not None

    async def _prepare(self) -> bool:
        """Learn the version of the row, and at first which rows are old.

        Other instances may start at the same time, so each chooses rows at random.
        """
        snapshot = await self._read()
        if snapshot is None:
            return False
        self._version = ABSENT
        for row in snapshot.rows:
            if f"{TABLE}/{row.key}" == self._key:
                self._version = row.version
        if self._excess is None:
            old = [row for row in snapshot.rows if _is_old(row, snapshot.now)]
            chosen = self._random.sample(old, min(MAX_DELETED, len(old)))
            self._excess = [(row.key, row.version) for row in chosen]
        return True

    async def _commit(
        self, key: str, version: int, value: JsonObject | None
    ) -> CommitReply:
        return await self._store.commit(
            Transaction("origins", (Condition(key, version),), (Write(key, value),))
        )


def _is_recent(at: float, now: float) -> bool:
    """Return whether callers may take up the streams of a row.

    :param at: time of the write
    """
    return now - at < RECENT_SECONDS


def _is_old(row: Row, now: float) -> bool:
    """Return whether no caller takes up the streams of a row any more."""
    try:
        document = msgspec.convert(row.value, _TimeDocument)
    except (msgspec.ValidationError, RecursionError):
        return True
    return not _is_recent(document.at, now)
