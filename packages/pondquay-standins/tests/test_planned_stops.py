"""Planned stops of entry instances with callers that read slowly."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import pytest

from pondquay_standins.fleet import Fleet
from pondquay_standins.names import SERVICE
from pondquay_standins.processes import call_http, wait_until
from pondquay_standins.workspaces import configure_workspaces, make_workspace

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = "sk-stops"
ENTRY_BYTES = 900_000
# Together they are longer than what the kernel holds for a connection.
ENTRIES = 16


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Run a fleet with a workspace."""
    with Fleet() as fleet:
        configure_workspaces(fleet)
        version = fleet.configure("khuree", *make_workspace("stops", KEY, 100_000))
        fleet.wait_for_version(version)
        yield fleet


# Guards against a response that is cut off by a planned stop, as its caller has not yet
# read all of it when the last request ends.
def test_a_response_that_is_read_slowly_outlasts_a_planned_stop(fleet: Fleet) -> None:
    leaving = fleet.instances[0]
    url = f"{leaving.caller_url}/services/{SERVICE}/entries"
    headers = {"Authorization": f"Bearer {KEY}"}
    for _ in range(ENTRIES):
        entry = {"text": "x" * ENTRY_BYTES}
        assert call_http("POST", url, entry, headers=headers).status == 201
    connection = http.client.HTTPConnection(urlsplit(url).netloc, timeout=30)
    connection.request("GET", urlsplit(url).path, headers=headers)
    response = connection.getresponse()
    assert response.status == 200
    leaving.process.popen.terminate()
    wait_until(
        lambda: "event=stopped" in leaving.process.log.read_text(),
        "the instance has returned its grants",
    )
    assert len(response.read()) > ENTRIES * ENTRY_BYTES
    connection.close()
    assert leaving.process.popen.wait(30) == 0
