"""Logs tell how many retries all instances together sent a service, and why."""

from __future__ import annotations

from argparse import ArgumentTypeError
from typing import TYPE_CHECKING

import pytest

from pondquay_cli.__main__ import make_parser
from pondquay_cli.commands.retries import RetriesCommand, parse_window
from pondquay_cli.logfiles import read_events
from pondquay_cli.retrycounts import find_busiest_windows

if TYPE_CHECKING:
    from pathlib import Path

FIRST = """\
time=1.000 event=retry-used request=r1 service=judge cause=lost
time=2.000 event=request-ended request=r1 service=judge seconds=1.5
time=19.000 event=retry-used request=r2 service=judge cause=silent
time=19.100 event=retry-unused request=r2 service=judge
time=19.200 event=retry-used request=r2 service=judge cause=silent
time=19.500 event=request-ended request=r2 service=judge seconds=1.0
"""
SECOND = """\
time=22.000 event=retry-used request=r3 service=judge cause=lost
time=22.500 event=request-ended request=r3 service=judge seconds=0.6
time=23.000 event=request-ended request=r4 service=board seconds=0.1
"""


def test_retries_of_all_instances_are_counted_in_one_window() -> None:
    events = [
        *read_events(FIRST.splitlines(), "edge-1"),
        *read_events(SECOND.splitlines(), "edge-2"),
    ]
    (window,) = find_busiest_windows(events, 10.0)
    assert (window.service, window.began, window.requests) == ("judge", 19.2, 2)
    assert window.causes == {"silent": 1, "lost": 1}
    assert window.instances == {"edge-1": 1, "edge-2": 1}


def test_a_retry_with_which_nothing_was_sent_does_not_count() -> None:
    (window,) = find_busiest_windows(read_events(FIRST.splitlines(), "edge-1"), 30.0)
    assert [retry.request for retry in window.retries] == ["r1", "r2"]


@pytest.mark.parametrize("text", ["0", "-1", "inf", "nan", "ten"])
def test_a_window_that_is_no_positive_number_is_refused(text: str) -> None:
    with pytest.raises(ArgumentTypeError, match="not a positive number"):
        parse_window(text)


def test_the_command_shows_the_busiest_window_of_each_service(tmp_path: Path) -> None:
    (tmp_path / "edge-1.log").write_text(FIRST)
    (tmp_path / "edge-2.log").write_text(SECOND)
    files = [str(path) for path in sorted(tmp_path.glob("*.log"))]
    options = make_parser().parse_args(["retries", *files])
    result = RetriesCommand().run(options)
    assert result.text == (
        "judge: 2 retries from 19.200, 2 requests; causes lost 1, silent 1; "
        "instances edge-1 1, edge-2 1"
    )
