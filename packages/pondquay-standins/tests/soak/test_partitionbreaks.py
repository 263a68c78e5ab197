"""Checks of responses that break off as an instance is cut off from replicas."""

from __future__ import annotations

import time
from typing import Any

import pytest

from pondquay_standins.soak.partitionbreaks import (
    PartitionBreak,
    PartitionBreaks,
    list_begun_breaks,
    list_gateway_breaks,
)
from pondquay_standins.soak.upstreamsignals import Disturbance

from .calls import make_call

SENT_AT = 20.0
LINE = (
    "time={at} level=warning event=attempt-failed request={request} upstream=e4 "
    "outcome=\"Lost(reason='connection lost: gateway lost.', silent=False, "
    "broken=True, began=True, streamed=0.08, unread=False, by_gateway={by_gateway}, "
    "gateway='{gateway}')\""
)


def make_line(**fields: Any) -> str:
    defaults = {"at": 100.0, "request": "a1", "by_gateway": True, "gateway": "r3"}
    return LINE.format(**{**defaults, **fields})


ENDED = "refused-502: broke after its beginning was forwarded"


def make_end(outcome: str = ENDED, first: float = 0.025, at: float = 100.05) -> str:
    return (
        f"time={at} level=warning event=request-ended request=a1 "
        f'outcome="{outcome}" first={first}'
    )


def is_excused(
    found: PartitionBreak, partition: Disturbance, seconds: float = 0.1
) -> bool:
    breaks = PartitionBreaks([found], [partition])
    call = make_call("a1", SENT_AT, relay="r1", seconds=seconds)
    return breaks.broke_in_partition(call)


# Guards against a check that takes the cut of a gateway for a fault of the relay.
@pytest.mark.parametrize("began", [20.0, 20.15])
def test_a_response_may_break_off_with_the_way_of_its_gateway(began: float) -> None:
    found = PartitionBreak("a1", "r1", "r3", 20.1)
    assert is_excused(found, Disturbance("r3", began, 20.4))


# Guards against a check that takes the kill of a gateway for a fault of the relay.
def test_a_response_may_break_off_as_its_gateway_is_killed() -> None:
    found = PartitionBreak("a1", "r1", "r3", 20.1)
    assert is_excused(found, Disturbance("r3", 20.05, 20.06))
    assert not is_excused(found, Disturbance("r2", 20.05, 20.06))
    assert not is_excused(found, Disturbance("r3", 19.8, 19.9))


@pytest.mark.parametrize(
    ("found", "partition"),
    [
        (PartitionBreak("a2", "r1", "r3", 20.1), Disturbance("r3", 20.0, 20.4)),
        (PartitionBreak("a1", "r2", "r3", 20.1), Disturbance("r3", 20.0, 20.4)),
        (PartitionBreak("a1", "r1", "r2", 20.1), Disturbance("r3", 20.0, 20.4)),
        (PartitionBreak("a1", "r1", "r3", 20.1), Disturbance("r3", 20.25, 20.6)),
        (PartitionBreak("a1", "r1", "r3", 20.1), Disturbance("r3", 19.0, 19.9)),
        (PartitionBreak("a1", "r1", "r3", 20.1), Disturbance("r3", 19.5, 20.4)),
        (PartitionBreak("a1", "r1", "r3", 20.3), Disturbance("r3", 20.0, 20.4)),
        (PartitionBreak("a1", "r1", "r3", 19.8), Disturbance("r3", 19.7, 20.4)),
    ],
)
def test_other_breaks_and_partitions_excuse_no_response(
    found: PartitionBreak, partition: Disturbance
) -> None:
    assert not is_excused(found, partition)


def test_breaks_at_gateways_are_read_from_a_log() -> None:
    offset = time.time() - time.monotonic()
    lines = [
        make_line(at=offset + 20.0),
        make_end("refused-502: attempts used up", at=offset + 20.05),
    ]
    (found,) = list_gateway_breaks("r1", lines)
    assert (found.attempt, found.relay, found.target) == ("a1", "r1", "r3")
    assert found.at == pytest.approx(20.0, abs=0.05)


@pytest.mark.parametrize(
    "lines",
    [
        [make_line()],
        [make_line(), make_end(at=104.0)],
        [make_line(), make_end("streamed")],
        [make_line(), make_end().replace("request=a1", "request=a2")],
        [make_line(by_gateway=False), make_end()],
        [make_line(by_gateway=False, gateway=""), make_end()],
        [make_line(), make_line(by_gateway=False), make_end()],
        [
            make_line(),
            'time=100.0 event=attempt-failed request=a1 outcome="NotRun()"',
            make_end(),
        ],
        ["time=100.0 level=info event=request-ended request=a1 outcome=streamed"],
    ],
)
def test_a_call_that_failed_otherwise_in_the_end_is_not_listed(
    lines: list[str],
) -> None:
    assert list_gateway_breaks("r1", lines) == []


DIRECT = make_line(by_gateway=False, gateway="")


def test_breaks_after_the_head_was_written_are_read_from_a_log() -> None:
    (found,) = list_begun_breaks("r1", [DIRECT, make_end()])
    assert (found.attempt, found.relay, found.target) == ("a1", "r1", "r1")


@pytest.mark.parametrize(
    "lines",
    [
        [make_end()],
        [DIRECT, make_end(first=-1)],
        [DIRECT, make_end("refused-502: attempts used up")],
        [DIRECT],
        [make_line(), make_end()],
        [make_line(by_gateway=False, gateway="r3"), make_end()],
        [DIRECT.replace("broken=True", "broken=False"), make_end()],
        [DIRECT.replace("request=a1", "request=a2"), make_end()],
        [DIRECT, make_line(), make_end()],
    ],
)
def test_other_ends_are_not_breaks_after_the_head(lines: list[str]) -> None:
    assert list_begun_breaks("r1", lines) == []
