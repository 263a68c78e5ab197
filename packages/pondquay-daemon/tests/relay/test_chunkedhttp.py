"""Connections that pass chunks on behave as those of h11, byte for byte.

They serve streams of many short events, which a relay forwards one by one.
"""

from __future__ import annotations

from typing import Any

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pondquay_daemon.relay.chunkedhttp import ClientHttp, ServerHttp, split_chunks

MAX_HEAD_BYTES = 4096
# The rest of a chunk that had begun, whole chunks, and the beginning of another one.
MAX_EVENTS_PER_READ = 3
REQUEST_HEADERS = [(b"Host", b"u")]

pieces = st.lists(st.binary(max_size=12), max_size=6)
sizes = st.sampled_from([b"%x", b"%X", b"0%x", b"%x;ext=1", b"%x ", b"0x%x", b"+%x"])
ends = st.sampled_from(
    [b"0\r\n\r\n", b"00\r\n\r\n", b"0;e\r\n\r\n", b"0\r\nA: b\r\n\r\n", b"", b"0\r\n"]
)
heads = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\nConnection: close\r\n\r\n",
        b"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n",
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
    ]
)


@st.composite
def bodies(draw: Any) -> bytes:
    chunks = [
        (draw(sizes) % len(piece)) + b"\r\n" + piece + draw(crlfs)
        for piece in draw(pieces)
    ]
    return b"".join(chunks) + draw(ends) + draw(st.sampled_from([b"", b"surplus"]))


crlfs = st.sampled_from([b"\r\n"] * 6 + [b"\n", b"xx", b""])


def read_all(http: Any, method: bytes, parts: list[bytes]) -> dict[str, Any]:
    """Return what a client reads of a response that arrives in parts."""
    request = h11.Request(method=method, target=b"/", headers=REQUEST_HEADERS)
    http.send(request)
    http.send(h11.EndOfMessage())
    events: list[Any] = []
    content = b""
    for part in [*parts, b""]:
        try:
            http.receive_data(part)
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                if isinstance(event, h11.Data):
                    content += bytes(event.data)
                    continue
                events.append(event)
                if isinstance(event, h11.ConnectionClosed):
                    break
        except h11.RemoteProtocolError as error:
            events.append((type(error), str(error)))
            break
        if http.their_state is h11.DONE:
            break
    return {
        "events": events,
        "content": content,
        "state": http.their_state,
        # After an error the connection is closed, whatever else has arrived.
        "surplus": None if http.their_state is h11.ERROR else http.trailing_data,
    }


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    ends = zip(places, places[1:], strict=False)
    return [data[start:end] for start, end in ends]


@settings(max_examples=500)
@given(
    heads,
    bodies(),
    st.lists(st.integers(1, 200), max_size=8),
    st.sampled_from([b"GET", b"HEAD", b"POST"]),
)
@example(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
    [47, 53],
    b"GET",
)
def test_a_client_reads_what_h11_reads(
    head: bytes, body: bytes, cuts: list[int], method: bytes
) -> None:
    parts = split(head + body, cuts)
    expected = read_all(
        h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES),
        method,
        parts,
    )
    assert read_all(ClientHttp(MAX_HEAD_BYTES), method, parts) == expected


@given(heads, bodies(), st.lists(st.integers(1, 200), max_size=8))
def test_a_response_after_another_is_read_as_well(
    head: bytes, body: bytes, cuts: list[int]
) -> None:
    stream = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream += b"3\r\nabc\r\n0\r\n\r\n"
    results = []
    for http in (
        h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES),
        ClientHttp(MAX_HEAD_BYTES),
    ):
        first = read_all(http, b"GET", split(stream, cuts))
        http.start_next_cycle()
        results.append((first, read_all(http, b"GET", split(head + body, cuts))))
    assert results[0] == results[1]


def test_each_read_of_whole_chunks_is_one_event() -> None:
    http: Any = ClientHttp(MAX_HEAD_BYTES)
    http.send(h11.Request(method=b"GET", target=b"/", headers=REQUEST_HEADERS))
    http.send(h11.EndOfMessage())
    http.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert isinstance(http.next_event(), h11.Response)
    http.receive_data(b"1\r\na\r\n2\r\nbc\r\n")
    assert http.next_event() == h11.Data(data=b"abc")
    assert http.next_event() is h11.NEED_DATA


# Guards against a parser that goes on slowly, chunk by chunk, once a read has ended
# within a chunk, so that short chunks without end hold up the event loop.
@pytest.mark.parametrize("read_bytes", [65534, 65535, 65536, 65537])
def test_reads_that_end_within_chunks_are_few_events(read_bytes: int) -> None:
    http: Any = ClientHttp(MAX_HEAD_BYTES)
    http.send(h11.Request(method=b"GET", target=b"/", headers=REQUEST_HEADERS))
    http.send(h11.EndOfMessage())
    http.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert isinstance(http.next_event(), h11.Response)
    chunks = b"1\r\nx\r\n" * 50_000
    count = 0
    for start in range(0, len(chunks), read_bytes):
        events = []
        http.receive_data(chunks[start : start + read_bytes])
        while (event := http.next_event()) is not h11.NEED_DATA:
            events.append(event)
        assert len(events) <= MAX_EVENTS_PER_READ
        count += sum(len(event.data) for event in events)
    assert count == 50_000


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", (b"", b"")),
        (b"1\r\na\r\nA\r\n0123456789\r\n", (b"a0123456789", b"")),
        (b"1\r\na\r\n2\r\nb", (b"a", b"2\r\nb")),
        (b"1\r\na\r", (b"", b"1\r\na\r")),
        (b"1\r\na\r\n0\r\n\r\n", (b"a", b"0\r\n\r\n")),
        (b"000\r\n\r\n", (b"", b"000\r\n\r\n")),
        (b"1;x\r\na\r\n", (b"", b"1;x\r\na\r\n")),
        (b"-1\r\na\r\n", (b"", b"-1\r\na\r\n")),
        (b"1_0\r\n0123456789abcdef\r\n", (b"", b"1_0\r\n0123456789abcdef\r\n")),
    ],
)
def test_only_whole_plain_chunks_are_taken(
    data: bytes, expected: tuple[bytes, bytes]
) -> None:
    assert split_chunks(data) == expected


@given(
    st.sampled_from([b"GET", b"HEAD"]),
    st.sampled_from([b"1.1", b"1.0"]),
    st.sampled_from(
        [
            [],
            [(b"Content-Length", b"6")],
            [(b"X", b"transfer-encoding: chunked")],
            [(b"Transfer-Encoding", b"chunked")],
        ]
    ),
    st.sampled_from([200, 204, 304, 503]),
    st.lists(st.sampled_from([b"", b"abc", b"defghi"]), max_size=3),
)
def test_a_server_writes_what_h11_writes(
    method: bytes,
    version: bytes,
    headers: list[tuple[bytes, bytes]],
    status: int,
    parts: list[bytes],
) -> None:
    request = method + b" / HTTP/" + version + b"\r\nHost: u\r\n\r\n"
    results = []
    for http in (
        h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES),
        ServerHttp(MAX_HEAD_BYTES),
    ):
        written: list[Any] = []
        # Two responses on one connection, if it stays open.
        for _ in range(2):
            http.receive_data(request)
            try:
                while type(http.next_event()) is not h11.EndOfMessage:
                    pass
                written.append(
                    http.send(h11.Response(status_code=status, headers=headers))
                )
                written += [http.send(h11.Data(data=part)) for part in parts]
                written.append(http.send(h11.EndOfMessage()))
            except h11.LocalProtocolError as error:
                written.append(str(error))
                break
            written.append((http.our_state, http.their_state))
            if (http.our_state, http.their_state) != (h11.DONE, h11.DONE):
                break
            http.start_next_cycle()
        results.append(written)
    assert results[0] == results[1]
