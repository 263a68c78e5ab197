from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet.defer import Deferred

from pondquay.tables import Condition, Transaction, Write
from pondquay_daemon.relay.fetch import Call, FetchedResponse
from pondquay_platform.store import TableStore


@dataclass
class RecordingFetcher:
    """Records calls to a store that has no rows and accepts every write.

    :ivar timeouts: timeout of each call, in seconds
    """

    calls: list[Call] = field(default_factory=list)
    timeouts: list[float] = field(default_factory=list)

    async def fetch(self, call: Call, timeout: float) -> FetchedResponse:
        self.calls.append(call)
        self.timeouts.append(timeout)
        return FetchedResponse(200, b'{"rows": [], "ver": 1, "more": false}')


def read_and_write(
    recorder: RecordingFetcher, table: str
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Read and write a row; return the read's query and the write's body."""
    fetcher: Any = recorder
    store = TableStore(fetcher, "store", 3.0, frozenset({"budgets"}))
    key = f"{table}/row"
    write = Transaction("write", (Condition(key, 0),), (Write(key, {}),))
    Deferred.fromCoroutine(store.read_row(key))
    Deferred.fromCoroutine(store.commit(write))
    read, written = recorder.calls
    query = parse_qs(urlsplit(read.target.decode()).query, keep_blank_values=True)
    return {name: values[0] for name, values in query.items()}, json.loads(written.body)


def test_each_row_of_a_partitioned_table_has_its_own_part() -> None:
    query, body = read_and_write(RecordingFetcher(), "budgets")
    assert (query["part"], query["from"]) == ("row", "row")
    location = {"table": "budgets", "part": "row", "key": "row"}
    assert body["put"] == [{**location, "value": "e30="}]
    assert body["expected_rev"] == [{**location, "ver": 0}]


def test_rows_of_other_tables_share_the_part_with_the_empty_name() -> None:
    query, body = read_and_write(RecordingFetcher(), "instances")
    assert query["part"] == ""
    assert body["put"][0]["part"] == ""


def test_timeout_of_a_write_follows_the_configuration_bound() -> None:
    """Guards against timeouts of writes whose responses a full link delays by 0.8 s."""
    fetcher = RecordingFetcher()
    read_and_write(fetcher, "budgets")
    assert 0.8 < fetcher.timeouts[-1] < 3.0 / 2
