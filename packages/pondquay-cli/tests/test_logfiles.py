from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pondquay_cli.__main__ import make_parser
from pondquay_cli.commands.explain import ExplainCommand
from pondquay_cli.errors import EXIT_REFUSED
from pondquay_cli.logfiles import find_request_events, parse_line, read_events

if TYPE_CHECKING:
    from pathlib import Path

LOG = """\
time=9.000 level=warning event=dependency-lost dependency=store table=op
time=9.500 level=info event=upstream-chosen request=other upstream=i-1
time=10.000 level=info event=tokens-reserved request=r1 workspace=w tokens=5
time=10.100 level=info event=upstream-chosen request=r1 upstream=i-1
time=10.200 level=info event=upstream-leaves upstream=i-1 source=peer
time=10.210 level=info event=upstream-leaves upstream=i-2 source=peer
not an event
time=10.300 level=warning event=attempt-failed request=r1 outcome="a \\"b\\""
time=10.400 level=warning event=request-ended request=r1 outcome="refused-502: silent"
time=99.000 level=warning event=peer-lost peer=b
"""


def test_line_with_quoted_field_is_parsed() -> None:
    event = parse_line(
        ' 1.5 edge-1 time=2.5 level=info event=e text="a \\"b\\"\\n"', "x"
    )
    assert event is not None
    assert (event.time, event.instance, event.event) == (2.5, "edge-1", "e")
    assert event.fields == {"text": 'a "b"\n'}


def test_lines_without_event_are_skipped() -> None:
    lines = ["", "time=x event=e", "time=1.0", "Traceback", "time="]
    assert list(read_events(lines, "x")) == []


def test_request_events_include_related_events_of_its_instances() -> None:
    events = list(read_events(LOG.splitlines(), "a")) + list(
        read_events(["time=10.05 event=peer-lost peer=z"], "elsewhere")
    )
    found = [event.event for event in find_request_events(events, "r1", 2.0)]
    assert found == [
        "dependency-lost",
        "tokens-reserved",
        "upstream-chosen",
        "upstream-leaves",
        "attempt-failed",
        "request-ended",
    ]


def test_explain_shows_events_and_fails_for_unknown_request(tmp_path: Path) -> None:
    path = tmp_path / "edge-1.log"
    path.write_text(LOG)
    options = make_parser().parse_args(["explain", "r1", str(path)])
    result = ExplainCommand().run(options)
    assert result.text.splitlines()[-1].startswith("10.400 edge-1 request-ended")
    assert json.loads(json.dumps(result.content))[0]["event"] == "dependency-lost"
    options = make_parser().parse_args(["explain", "unknown", str(path)])
    assert ExplainCommand().run(options).status == EXIT_REFUSED
