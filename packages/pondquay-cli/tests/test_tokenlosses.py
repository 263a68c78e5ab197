"""Logs tell which tokens of a budget ended instances took with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_cli.__main__ import make_parser
from pondquay_cli.commands.losses import LossesCommand
from pondquay_cli.logfiles import read_events
from pondquay_cli.tokenlosses import find_losses

if TYPE_CHECKING:
    from pathlib import Path

LOG = """\
time=0.000 level=info event=started instance=edge-1
time=1.000 level=info event=tokens-reserved request=r1 workspace=captions tokens=500
time=2.000 level=info event=request-ended request=r1 workspace=captions tokens=300
time=3.000 level=info event=tokens-reserved request=r2 workspace=captions tokens=400
time=3.500 level=info event=tokens-reserved request=r3 workspace=rosters tokens=50
time=5.000 level=info event=started instance=edge-1
time=5.100 level=info event=tokens-reserved request=r4 workspace=captions tokens=70
time=5.200 level=info event=incarnation-closed workspace=captions ceiling=1000 spent=0
"""


def test_a_loss_tells_what_was_used_and_what_interrupted_requests_held() -> None:
    (loss,) = find_losses(read_events(LOG.splitlines(), "edge-1"))
    assert (loss.workspace, loss.ceiling, loss.used) == ("captions", 1000, 300)
    assert (loss.unused, loss.interrupted) == (700, 400)


def test_incarnations_of_other_instances_are_kept_apart() -> None:
    events = list(read_events(LOG.splitlines(), "edge-1"))
    events += read_events(LOG.replace("300", "200").splitlines(), "edge-2")
    losses = {loss.instance: loss.unused for loss in find_losses(events)}
    assert losses == {"edge-1": 700, "edge-2": 800}


def test_losses_are_shown_with_their_sum(tmp_path: Path) -> None:
    path = tmp_path / "edge-1.log"
    path.write_text(LOG)
    options = make_parser().parse_args(["losses", str(path)])
    result = LossesCommand().run(options)
    assert "captions: 700 unused tokens of 1 ended incarnations" in result.text
    assert result.content[0]["interrupted"] == 400
    options = make_parser().parse_args(["losses", "--workspace", "x", str(path)])
    assert LossesCommand().run(options).content == []
