from __future__ import annotations

from typing import Any

import pytest

from pondquay.routes.entities import RequestKind
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_platform.border import PlatformBorder
from pondquay_platform.configuration import read_configuration, read_upstream


def make_value() -> dict[str, Any]:
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "ficu95.example",
                "path_prefix": "/lohu930/",
                "kind": "streaming",
                "timeout_ms": 12000,
                "slo_ms": 800,
                "priority": 1,
                "split": [
                    {"service": "s-1", "weight": 90},
                    {"service": "s-2", "weight": 10},
                ],
                "attempts": 2,
                "public": False,
                "resumable": True,
                "a_new_field": 1,
            },
            {
                "name": "r-2",
                "host": "ficu95.example",
                "path_prefix": "/pufi791/",
                "kind": "non_idempotent",
                "timeout_ms": 1000,
                "slo_ms": 150,
                "service": "s-2",
            },
        ],
        "services": [
            {
                "name": "s-1",
                "health_path": "/healthz",
                "max_conns": 360,
                "engine": {"slots": 64, "stride": 3},
            },
            {"name": "s-2", "health_path": "/healthz", "max_conns": 100},
        ],
        "limits": {"max_header_bytes": 9000, "idle_timeout_ms": 5000},
        "tenants": [
            {"name": "t-1", "api_keys": ["a", "b"], "priority": 1, "prepaid": 2276020}
        ],
    }


def test_a_configuration_is_read_as_a_whole() -> None:
    read = read_configuration(make_value())
    stream, once = read.routes
    assert read.version == 7
    assert (stream.timeout, stream.objective, stream.attempts) == (12.0, 0.8, 2)
    assert [one.weight for one in stream.services] == [90, 10]
    assert stream.repeatable
    assert (once.kind, once.repeatable, once.attempts) == (RequestKind.ONCE, False, 1)
    assert [one.event_tokens for one in read.services] == [3, 0]
    assert (read.workspaces[0].keys, read.workspaces[0].prepaid) == (
        ("a", "b"),
        2276020,
    )
    assert (read.limits.header_bytes, read.limits.idle_timeout) == (9000, 5.0)
    assert read.limits.header_timeout == 3.0


def test_what_an_upstream_bears_while_it_is_cold_is_read() -> None:
    value = make_value()
    value["services"][0] |= {"cold_s": 3.0, "cold_per_s": 6.6}
    first, second = read_configuration(value).services
    assert (first.cold_seconds, first.cold_rate) == (3.0, 6.6)
    assert (second.cold_seconds, second.cold_rate) == (0.0, 0.0)
    row = {"service": "s-1", "address": "10.0.0.1:80", "cold_remaining_ms": 1500}
    assert read_upstream("i-1", row).cold == 1.5


def test_a_row_that_empties_a_domain_names_it() -> None:
    border = PlatformBorder()
    assert border.find_emptied_domain("evacuate/hall-a") == "hall-a"
    assert border.find_emptied_domain("config") is None


@pytest.mark.parametrize("missing", ["version", "routes", "services"])
def test_a_configuration_without_a_part_is_an_error(missing: str) -> None:
    value = make_value()
    del value[missing]
    with pytest.raises(MalformedValueError, match=missing):
        read_configuration(value)


def test_an_unknown_kind_of_route_is_an_error() -> None:
    value = make_value()
    value["routes"][0]["kind"] = "sometimes"
    with pytest.raises(MalformedValueError, match="sometimes"):
        read_configuration(value)


def test_an_upstream_says_where_it_is_and_whether_it_leaves() -> None:
    value = {"service": "s-1", "address": "10.128.0.9:8080", "zone": "a", "slots": 64}
    assert not read_upstream("i-1", {**value, "state": "ready"}).leaving
    assert read_upstream("i-1", {**value, "state": "draining"}).leaving
    with pytest.raises(MalformedValueError, match="i-1"):
        read_upstream("i-1", {"service": "s-1"})
