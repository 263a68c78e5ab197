from __future__ import annotations

from random import Random

import pytest

from pondquay.routes.entities import (
    RequestKind,
    Route,
    RoutedWorkspace,
    RoutingConfiguration,
    WeightedService,
)
from pondquay.routes.table import RouteTable, choose_service


def route(name: str, prefix: str, *services: WeightedService) -> Route:
    return Route(name, "One.example", prefix, RequestKind.ONCE, 1.0, 0.2, 0, services)


@pytest.fixture
def table() -> RouteTable:
    routes = (route("short", "/a/"), route("long", "/a/b/"), route("other", "/c/"))
    workspaces = (RoutedWorkspace("moderators", ("k1", "k2")),)
    return RouteTable(RoutingConfiguration(3, routes, (), workspaces))


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/", "short"),
        ("/a/x", "short"),
        ("/a/b/", "long"),
        ("/a/b/c/d", "long"),
        ("/a/bc", "short"),
        ("/a", None),
        ("/", None),
        ("/d/a/", None),
        ("", None),
    ],
)
def test_longest_prefix_matches(table: RouteTable, path: str, name: str | None) -> None:
    found = table.find_route("one.example:80", path)
    assert (found.name if found else None) == name


def test_other_host_has_no_route(table: RouteTable) -> None:
    assert table.find_route("two.example", "/a/") is None


def test_keys_map_to_their_workspace(table: RouteTable) -> None:
    workspace = table.find_workspace("k2")
    assert workspace is not None
    assert workspace.name == "moderators"
    assert table.find_workspace("k3") is None
    assert table.find_workspace("") is None


def test_services_are_chosen_by_weight() -> None:
    split = route("s", "/", WeightedService("x", 9), WeightedService("y", 1))
    random = Random(1)
    chosen = [choose_service(split, random) for _ in range(2000)]
    assert 120 < chosen.count("y") < 280
