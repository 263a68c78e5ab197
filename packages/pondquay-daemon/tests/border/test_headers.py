from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.prompts import PromptPart
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.heads import keep_alive_seconds
from pondquay_daemon.relay.messages import (
    Dispatch,
    RequestHead,
    ResponseHead,
)
from pondquay_platform.headers import (
    read_request,
    read_response,
    write_refusal,
    write_request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

HEADERS = [
    (b"Host", b"ficu95.example"),
    (b"X-Pondquay-Attempt-Id", b"9c41d07be2a35f68"),
    (b"x-pondquay-token-usage", b"1460,80"),
    (b"X-Pondquay-Prefix-Hash", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"X-Pondquay-Deadline-Ms", b"12000"),
    (b"Authorization", b"Bearer n2ctnfzs989anu6wsjnb"),
    (b"X-Pondquay-Tenant", b"forged"),
    (b"X-Pondquay-Expect-Replica", b"forged"),
    (b"Last-Event-Id", b"12"),
    (b"resumes", b"17aa0d3c2f9b4e81"),
]


def make_head(*headers: tuple[bytes, bytes]) -> RequestHead:
    return RequestHead(b"POST", b"/lohu930/2f", list(headers))


def test_request_headers_are_read_in_any_case() -> None:
    metadata = read_request(make_head(*HEADERS))
    assert metadata.attempt == "9c41d07be2a35f68"
    assert metadata.key == "n2ctnfzs989anu6wsjnb"
    assert metadata.deadline == 12.0
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert metadata.prefix[1] == PromptPart("91bd3f06", 410)
    assert metadata.last_event == 12
    assert metadata.first_attempt == "17aa0d3c2f9b4e81"


def test_request_without_metadata_gets_defaults() -> None:
    metadata = read_request(make_head((b"Host", b"h")))
    assert (metadata.attempt, metadata.key, metadata.deadline) == ("", None, None)
    assert (metadata.max_tokens, metadata.prefix, metadata.last_event) == (0, (), 0)
    assert metadata.first_attempt == ""


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Pondquay-Deadline-Ms", b"soon"),
        (b"X-Pondquay-Token-Usage", b"12"),
        (b"X-Pondquay-Prefix-Hash", b"abc"),
        (b"Last-Event-Id", b"x"),
    ],
)
def test_malformed_request_header_is_an_error(header: tuple[bytes, bytes]) -> None:
    with pytest.raises(MalformedValueError):
        read_request(make_head(header))


def test_upstream_receives_the_workspace_but_not_the_key() -> None:
    sent = write_request(HEADERS, Dispatch("i-7f3a91c2", 1.2345, "hule930", 3))
    names = [name.lower() for name, _ in sent]
    assert b"authorization" not in names
    assert names.count(b"x-pondquay-tenant") == 1
    assert (b"X-Pondquay-Tenant", b"hule930") in sent
    assert (b"X-Pondquay-Expect-Replica", b"i-7f3a91c2") in sent
    assert (b"X-Pondquay-Deadline-Ms", b"1234") in sent
    assert (b"Last-Event-Id", b"12") in sent
    assert HEADERS[3] in sent


@pytest.mark.parametrize(
    "name",
    [
        b"X-Pondquay-Kv-Hold",
        b"X-Pondquay-Pin-Ms",
        b"X-Pondquay-Kv-Backup",
        b"X-Pondquay-Expect-Version",
        b"Kv-From",
        b"Kv-Fetch",
    ],
)
@pytest.mark.parametrize("change_case", [bytes, bytes.lower, bytes.upper])
def test_caller_cannot_set_headers_reserved_for_the_relay(
    name: bytes, change_case: Callable[[bytes], bytes]
) -> None:
    forged = [*HEADERS, (change_case(name), b"forged")]
    sent = write_request(forged, Dispatch("i-1", 1.0, "hule930", 3))
    assert name.lower() not in [sent_name.lower() for sent_name, _ in sent]
    assert b"forged" not in [value for _, value in sent]


def test_prompt_headers_are_forwarded_unchanged() -> None:
    prompt_headers = [
        (b"X-Pondquay-Model", b"m"),
        (b"X-Pondquay-Token-Usage", b"1460,80"),
        (b"X-Pondquay-Prefix-Hash", b"5c1e07a2:800"),
        (b"X-Pondquay-Length-Hint", b"40"),
    ]
    sent = write_request(prompt_headers, Dispatch("i-1", 1.0, "hule930", 3))
    assert [header for header in sent if header in prompt_headers] == prompt_headers


def test_forged_workspace_is_removed_if_the_request_has_none() -> None:
    sent = write_request(HEADERS, Dispatch("i-1", 1.0, None, 3))
    assert b"x-pondquay-tenant" not in [name.lower() for name, _ in sent]


def test_resumed_request_sends_the_last_event_received() -> None:
    sent = write_request(HEADERS, Dispatch("i-1", 1.0, None, 3, resume_after=20))
    assert [value for name, value in sent if name == b"Last-Event-Id"] == [b"20"]


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "misdirected"),
    [
        (200, [], False, False),
        (503, [(b"X-Pondquay-Not-Executed", b"1")], True, False),
        (503, [], False, False),
        (421, [(b"X-Pondquay-Replica-Id", b"i-2")], False, True),
    ],
)
def test_only_the_header_shows_that_a_request_did_not_run(
    status: int, headers: list[tuple[bytes, bytes]], not_run: bool, misdirected: bool
) -> None:
    metadata = read_response(ResponseHead(status, b"", headers))
    assert (metadata.not_run, metadata.misdirected) == (not_run, misdirected)


@pytest.mark.parametrize(("value", "cold"), [(b"1500", 1.5), (b"0", 0.0), (b"x", 0.0)])
def test_response_reports_a_cold_upstream(value: bytes, cold: float) -> None:
    head = ResponseHead(200, b"", [(b"X-Pondquay-Cold-Ms", value)])
    assert read_response(head).signals.cold == cold


@pytest.mark.parametrize(
    ("values", "leaving"),
    [
        ([b"1"], True),
        ([b" 1 "], True),
        ([b"0", b"1"], True),
        ([], False),
        ([b"0"], False),
        ([b""], False),
        ([b"10"], False),
        ([b"true"], False),
        ([b"1, 1"], False),
    ],
)
def test_response_announces_that_its_upstream_is_leaving(
    values: list[bytes], leaving: bool
) -> None:
    headers = [(b"server-leaving", value) for value in values]
    assert read_response(ResponseHead(503, b"", headers)).signals.leaving is leaving


@pytest.mark.parametrize(
    ("status", "values", "backoff"),
    [
        (503, [b"3"], 3.0),
        (503, [b" 2.5 "], 2.5),
        (503, [b"2", b"3", b"x"], 3.0),
        (503, [b"0"], 0.0),
        (503, [b"9" * 15], 3600.0),
        (503, [], 0.0),
        (503, [b""], 0.0),
        (503, [b"-3"], 0.0),
        (503, [b"nan"], 0.0),
        (503, [b"inf"], 0.0),
        (503, [b"1e3"], 0.0),
        (503, [b"1_0"], 0.0),
        (503, [b"9" * 5000], 0.0),
        (503, ["٣".encode()], 0.0),
        (503, [b"Thu, 03 Dec 2026 03:41:04 GMT"], 0.0),
        (429, [b"3"], 0.0),
        (200, [b"3"], 0.0),
    ],
)
def test_only_an_unavailable_upstream_requests_backoff(
    status: int, values: list[bytes], backoff: float
) -> None:
    headers = [(b"Retry-After", value) for value in values]
    assert read_response(ResponseHead(status, b"", headers)).signals.backoff == backoff


@pytest.mark.parametrize(
    ("values", "limit", "tells_limit"),
    [
        ([], None, True),
        ([b"1"], 1.0, True),
        ([b" 0.5 "], 0.5, True),
        ([b".5"], 0.5, True),
        ([b"0"], 0.0, True),
        ([b"3", b"2", b"x"], 2.0, True),
        ([b""], None, False),
        ([b"-1"], None, False),
        ([b"nan"], None, False),
        ([b"inf"], None, False),
        ([b"1e3"], None, False),
        ([b"1,5"], None, False),
        ([b"."], None, False),
        ([b"9" * 5000], None, False),
        (["٣".encode()], None, False),
    ],
)
@pytest.mark.parametrize("status", [200, 500, 503])
def test_response_reports_a_rate_limit_for_all_instances(
    values: list[bytes], limit: float | None, tells_limit: bool, status: int
) -> None:
    headers = [(b"server-limit", value) for value in values]
    signals = read_response(ResponseHead(status, b"", headers)).signals
    assert (signals.limit, signals.tells_limit) == (limit, tells_limit)


def test_refusal_has_retry_after_and_no_signature() -> None:
    assert write_refusal("a1", 0.25) == [
        (b"X-Pondquay-Attempt-Id", b"a1"),
        (b"Retry-After", b"0.250"),
    ]


def test_upstream_receives_the_address_from_which_to_copy_a_prompt() -> None:
    dispatch = Dispatch("i-1", 1.0, None, 3, copy_from="10.0.0.9:8060")
    assert (b"Kv-Fetch", b"10.0.0.9:8060") in write_request(HEADERS, dispatch)


@given(
    st.sampled_from(
        [
            b"X-Pondquay-Token-Usage",
            b"X-Pondquay-Prefix-Hash",
            b"X-Pondquay-Deadline-Ms",
            b"Last-Event-Id",
        ]
    ),
    st.one_of(
        st.binary(max_size=40),
        st.sampled_from(
            [b"nan", b"-1", b"inf", b"1e400", b"9" * 5000, b"-5,-5", b"1,", b"a:-4"]
        ),
    ),
)
def test_any_request_header_is_read_or_an_error(name: bytes, value: bytes) -> None:
    try:
        metadata = read_request(make_head((name, value)))
    except MalformedValueError:
        return
    assert metadata.prompt_tokens >= 0
    assert metadata.output_tokens >= 0
    assert metadata.last_event >= 0
    assert metadata.deadline is None or 0 <= metadata.deadline < math.inf
    assert all(part.tokens >= 0 for part in metadata.prefix)


@given(
    st.sampled_from(
        [
            b"X-Pondquay-Cold-Ms",
            b"X-Pondquay-Attempt-Id",
            b"Keep-Alive",
            b"Retry-After",
            b"Server-Leaving",
            b"Server-Limit",
        ]
    ),
    st.one_of(
        st.binary(max_size=40),
        st.sampled_from([b"9" * 5000, b"timeout=" + b"9" * 5000, b"-1"]),
    ),
)
def test_any_response_header_leaves_the_response_readable(
    name: bytes, value: bytes
) -> None:
    metadata = read_response(ResponseHead(503, b"", [(name, value)]))
    assert 0 <= metadata.signals.cold < math.inf
    assert metadata.signals.limit is None or 0 <= metadata.signals.limit < math.inf
    assert 0 <= metadata.signals.backoff < math.inf
    keep_alive_seconds([(name, value)])
