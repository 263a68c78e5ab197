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
def test_the_longest_prefix_wins(
    table: RouteTable, path: str, name: str | None
) -> None:
    found = table.find_route("one.example:80", path)
    assert (found.name if found else None) == name


def test_another_host_has_no_route(table: RouteTable) -> None:
    assert table.find_route("two.example", "/a/") is None


def test_each_key_has_its_workspace(table: RouteTable) -> None:
    holder = table.find_workspace("k2")
    assert holder is not None
    assert holder.name == "moderators"
    assert table.find_workspace("k3") is None
    assert table.find_workspace("") is None


def test_a_split_follows_its_weights() -> None:
    split = route("s", "/", WeightedService("x", 9), WeightedService("y", 1))
    random = Random(1)
    drawn = [choose_service(split, random) for _ in range(2000)]
    assert 120 < drawn.count("y") < 280
