from __future__ import annotations

import math
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.addresses import Address
from pondquay.routes.entities import RequestKind
from pondquay.routes.table import RouteTable
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_platform.border import PlatformBorder
from pondquay_platform.configuration import read_configuration, read_upstream

from .values import json_values, make_row


def make_configuration() -> dict[str, Any]:
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


def test_complete_configuration_is_read() -> None:
    configuration = read_configuration(make_configuration())
    stream, once = configuration.routes
    assert configuration.version == 7
    assert (stream.timeout, stream.objective, stream.attempts) == (12.0, 0.8, 2)
    assert [service.weight for service in stream.services] == [90, 10]
    assert stream.repeatable
    assert (once.kind, once.repeatable, once.attempts) == (RequestKind.ONCE, False, 1)
    assert [service.event_tokens for service in configuration.services] == [3, 0]
    assert (configuration.workspaces[0].keys, configuration.workspaces[0].prepaid) == (
        ("a", "b"),
        2276020,
    )
    assert (configuration.limits.header_bytes, configuration.limits.idle_timeout) == (
        9000,
        5.0,
    )
    assert configuration.limits.header_timeout == 3.0


def test_limits_of_cold_upstreams_are_read() -> None:
    value = make_configuration()
    value["services"][0] |= {"cold_s": 3.0, "cold_per_s": 6.6}
    first, second = read_configuration(value).services
    assert (first.cold_seconds, first.cold_rate) == (3.0, 6.6)
    assert (second.cold_seconds, second.cold_rate) == (0.0, 0.0)
    assert read_upstream("i-1", make_row(cold_remaining_ms=1500)).cold == 1.5


def test_evacuation_row_names_its_domain() -> None:
    border = PlatformBorder()
    assert border.find_evacuated_domain("evacuate/hall-a") == "hall-a"
    assert border.find_evacuated_domain("config") is None


@pytest.mark.parametrize("field", ["version", "routes", "services"])
def test_configuration_without_a_required_field_is_an_error(field: str) -> None:
    value = make_configuration()
    del value[field]
    with pytest.raises(MalformedValueError, match=field):
        read_configuration(value)


def test_unknown_kind_of_route_is_an_error() -> None:
    value = make_configuration()
    value["routes"][0]["kind"] = "sometimes"
    with pytest.raises(MalformedValueError, match="sometimes"):
        read_configuration(value)


def test_upstream_row_holds_address_and_state() -> None:
    record = read_upstream("i-1", make_row())
    assert (record.address, record.domain) == (Address("10.128.0.9", 8080), "hall-a")
    assert not record.leaving
    assert read_upstream("i-1", make_row(state="draining")).leaving


def test_upstream_row_holds_the_version_of_its_software() -> None:
    assert read_upstream("i-1", make_row(version="v1.2")).software == "v1.2"


def test_incarnations_of_an_upstream_are_distinguished() -> None:
    incarnations = {
        read_upstream("i-1", make_row(born=born)).incarnation for born in (1, 2, None)
    }
    assert len(incarnations) == 3


@pytest.mark.parametrize("field", [name for name in make_row() if name != "born"])
def test_upstream_row_without_a_field_is_an_error(field: str) -> None:
    row = make_row()
    del row[field]
    with pytest.raises(MalformedValueError, match="i-1"):
        read_upstream("i-1", row)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", 3),
        ("service", {"name": "s-1"}),
        ("service", ""),
        ("address", 80),
        ("address", ["10.128.0.9", 8080]),
        ("address", "10.128.0.9"),
        ("address", "10.128.0.9:0x50"),
        ("address", "10.128.0.9:70000"),
        ("address", "10.128.0.9:0"),
        ("address", "localhost:80"),
        ("slots", "8"),
        ("slots", 0),
        ("slots", 10**30),
        ("cold_remaining_ms", "soon"),
        ("cold_remaining_ms", -1),
        ("cold_remaining_ms", float("nan")),
        ("cold_remaining_ms", float("inf")),
        ("state", "resting"),
        ("state", None),
        ("sequence", 1.5),
        ("born", "yesterday"),
        ("born", -1),
        ("zone", ""),
        ("models", 3),
    ],
)
def test_malformed_field_of_an_upstream_row_is_an_error(field: str, value: Any) -> None:
    with pytest.raises(MalformedValueError, match=field):
        read_upstream("i-1", make_row(**{field: value}))


@given(json_values())
def test_any_value_is_an_upstream_or_an_error(value: Any) -> None:
    with suppress(MalformedValueError):
        assert read_upstream("i-1", value).service


@given(st.sampled_from(sorted(make_row())), json_values())
def test_any_field_value_makes_an_upstream_or_an_error(field: str, value: Any) -> None:
    with suppress(MalformedValueError):
        record = read_upstream("i-1", make_row(**{field: value}))
        assert 0 <= record.cold < math.inf
        assert record.slots >= 1


@given(st.data())
def test_any_change_makes_a_configuration_or_an_error(data: st.DataObject) -> None:
    value = make_configuration()
    container: Any = value
    while isinstance(container, dict | list):
        keys = (
            list(container)
            if isinstance(container, dict)
            else list(range(len(container)))
        )
        key = data.draw(st.sampled_from(keys))
        if data.draw(st.booleans()) or not isinstance(container[key], dict | list):
            container[key] = data.draw(json_values())
            break
        container = container[key]
        if not container:
            break
    with suppress(MalformedValueError):
        RouteTable(read_configuration(value))
