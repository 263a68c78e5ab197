from __future__ import annotations

import asyncio
from argparse import Namespace
from typing import Any

from pondquay_cli.commands.relays import RelaysCommand


class StubClient:
    """Client that returns given relay reports without a network."""

    def __init__(self, *dumps: dict[str, Any]) -> None:
        self._dumps = list(dumps)

    async def list_responses(self, path: str) -> list[dict[str, Any]]:
        assert path == "/dump"
        return self._dumps


def make_dump(name: str, **fields: Any) -> dict[str, Any]:
    return {
        "instance": name,
        "domain": "hall-a",
        "ready": True,
        "configuration": 7,
        "store": {"reachable": True, "age": 0.2},
        "peers": ["r2"],
        "emptied": "",
        "malformed": {},
        "crashes": [],
        "upstreams": [],
        **fields,
    }


def test_relays_are_shown_side_by_side_with_malformed_rows() -> None:
    degraded = make_dump(
        "r2",
        ready=False,
        store={"reachable": False, "age": 9.0},
        emptied="hall-b@9+1.0s",
        malformed={"i-1": "upstream i-1: address: must be HOST:PORT"},
        crashes=[{"content": "ab", "upstreams": ["u1"], "trials": 0}],
    )
    client: Any = StubClient(make_dump("r1"), degraded)
    result = asyncio.run(RelaysCommand().run(client, Namespace()))
    first, second = result.content
    assert (first["store"], first["malformed"]) == ("answers", None)
    assert (second["store"], second["refused"]) == ("does not answer", 1)
    assert "hall-b@9+1.0s" in result.text
    assert "row i-1: upstream i-1: address: must be HOST:PORT" in result.text


def test_upstreams_are_counted_by_service_and_version() -> None:
    upstreams = [
        {"service": "judge", "software": "v1", "left": False},
        {"service": "judge", "software": "v2", "left": False},
        {"service": "judge", "software": "v2", "left": False},
        {"service": "judge", "software": "v2", "left": True},
    ]
    earlier = make_dump("r2", upstreams=[{"service": "judge", "left": False}])
    client: Any = StubClient(make_dump("r1", upstreams=upstreams), earlier)
    result = asyncio.run(RelaysCommand().run(client, Namespace()))
    software = [row["software"] for row in result.content]
    assert software == ["judge v1: 1, judge v2: 2", None]
