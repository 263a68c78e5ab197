"""The command ``python -m pondquay_lab.keptforms``: record a build's wire formats.

It writes the files in ``tests/kept``, which hold the messages and rows of each build in
use. The tests check that the present code is compatible with them. To record another
build, set ``PYTHONPATH`` to the sources in a work tree of its commit.
"""

from __future__ import annotations

import json
import sys
from argparse import ArgumentParser
from dataclasses import fields
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pondquay.budgets.allotments import AllotmentRow
from pondquay.routing.crashes import CrashReport
from pondquay.routing.softwarerecords import (
    RecordStart,
    RecordState,
    ServiceRecord,
)
from pondquay.routing.streamorigins import StreamOrigin
from pondquay_daemon.relay import peermessages
from pondquay_daemon.relay.crashrows import pack_report
from pondquay_daemon.relay.originrows import pack_origins
from pondquay_daemon.relay.softwarerows import pack_service, pack_start

if TYPE_CHECKING:
    from collections.abc import Sequence

CONTENT = bytes(range(16))
CRASHED = ("u1@5", "u2", "u3")
STREAM = bytes(range(8))
RECORD = ServiceRecord(
    {"v1": RecordState(active=False, left_at=2.5), "v1.2": RecordState()},
    {"0123456789abcdef": RecordState()},
)
# Example values by field name, or by message code and field name where messages or
# builds use a name for different things.
EXAMPLES: dict[str | tuple[int, str], Any] = {
    "instance": "r1",
    "members": {"r1": ("10.0.0.1:8003", "hall"), "r2": ("10.0.0.2:8003", "yard")},
    "codes": [1, 2, 3],
    "version": 7,
    "packed": b"\x01\x02",
    "departures": [("u1", 7, 5), ("u2", None, None)],
    "evacuations": [("hall", 9, True)],
    (11, "crashes"): [(CONTENT, ["u1@5", "u2"], ["u2"], 1)],
    (13, "crashes"): [(CONTENT, {"u1@5": 482.5, "u2": 0.0}, ["u2"], 1)],
    (32, "crashes"): [(CONTENT, {"u1@5": 482.5, "u2": 0.0}, ["u2"], 1)],
    (33, "crashes"): [(CONTENT, {"u1@5": 482.5, "u2": 0.0}, ["u2"], 1)],
    "states": [(CONTENT, {"u1@5": 482.5, "u2": 0.0}, ["u2"], 3, 1, 2)],
    "number": 3,
    "workspace": "moderators",
    "tokens": 400,
    "ahead": 20,
    "loads": [("u1", 120, ["aa", "bb"])],
    "limits": [("u1", 1.5, 0.25), ("u2", None, 3.0)],
    "asker": "r1",
    "upstream": "u1",
    "count": 2,
    "hops": 1,
    "rate": 1.5,
    "age": 0.25,
    "seconds": 1.0,
    "pause": 0.5,
    "running": [(3_000_000_000, 2, 12)],
    "paces": [(3_000_000_000, 11_000, 0), (4, 0, 900)],
    "level": 1,
    "room": 4,
    "address": "10.0.0.1:7340",
    "accepting": True,
    "key": bytes(range(8)),
    "service": "judge",
    "software": "v1.2",
    "versions": [("judge", "v1", 0.5), ("judge", "v1.2", 0.0)],
}


def describe_messages() -> dict[str, Any]:
    """Return the name, fields and an example of each message type, by code."""
    described = {}
    message_types: dict[int, Any] = dict(peermessages.MESSAGE_TYPES)
    for code, message_type in sorted(message_types.items()):
        message_fields = fields(message_type)
        values = [
            EXAMPLES.get((code, field.name), EXAMPLES.get(field.name))
            for field in message_fields
        ]
        described[str(code)] = {
            "kind": message_type.__name__,
            "fields": [[field.name, str(field.type)] for field in message_fields],
            "example": peermessages.encode_message(message_type(*values)).hex(),
        }
    return described


def describe_rows() -> dict[str, Any]:
    """Return an example of each kind of row that builds share through the store."""
    report = CrashReport(CONTENT, frozenset(CRASHED), frozenset(), 1)
    allotment = AllotmentRow.from_value(
        {
            "closed": [30, 25],
            "holders": {"r1": ["b1", 100, 40, 7, -5], "r2": ["b2", 60, 0, 0, 5]},
        }
    )
    return {
        "crashes": pack_report(report),
        "allotments": allotment.to_value(),
        "instances": {"address": "10.0.0.1:8003", "domain": "hall"},
        "software": pack_service("judge", RECORD),
        "software-start": pack_start(RecordStart(at=7.5)),
        "stream-origins": pack_origins({STREAM: StreamOrigin("judge", "v1.2")}, 9.5),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Write the file of the build whose sources are on the import path."""
    parser = ArgumentParser(prog="python -m pondquay_lab.keptforms")
    parser.add_argument("file", type=Path)
    options = parser.parse_args(arguments)
    described = {"messages": describe_messages(), "rows": describe_rows()}
    options.file.write_text(json.dumps(described, indent=1, sort_keys=True) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
