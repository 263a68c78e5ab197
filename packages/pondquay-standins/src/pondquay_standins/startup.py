"""Start of a fleet's processes, several at the same time."""

from __future__ import annotations

from functools import partial
from itertools import chain
from typing import TYPE_CHECKING, TypeVar

from pondquay_standins.fleetparts import Daemon, UpstreamProcess, is_up
from pondquay_standins.processes import Process, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MAX_START_ATTEMPTS = 3

StartedT = TypeVar("StartedT", Daemon, UpstreamProcess, Process)


def start_until_up(
    start: Callable[[], StartedT], find_url: Callable[[StartedT], str]
) -> StartedT:
    """Start a process and wait until it responds.

    A process that exits, for example because its port is in use, is started again.

    :param find_url: returns a URL of the process that responds once it is up
    :raises RuntimeError: if it has exited ``MAX_START_ATTEMPTS`` times
    """
    (started,) = start_all_until_up([start], find_url)
    return started


def start_all_until_up(
    starts: Sequence[Callable[[], StartedT]], find_url: Callable[[StartedT], str]
) -> list[StartedT]:
    """Start processes at the same time and wait until all respond.

    :returns: the processes in the order of ``starts``
    :raises RuntimeError: if one has exited ``MAX_START_ATTEMPTS`` times
    """
    first = [start() for start in starts]
    return [
        _wait_until_up(started, start, find_url)
        for started, start in zip(first, starts, strict=True)
    ]


def _wait_until_up(
    started: StartedT,
    start: Callable[[], StartedT],
    find_url: Callable[[StartedT], str],
) -> StartedT:
    """Wait until a process responds, and start it again each time that it exits."""
    restarts = (start() for _ in range(MAX_START_ATTEMPTS - 1))
    for attempt in chain([started], restarts):
        process = _get_process(attempt)
        wait_until(partial(_is_up_or_ended, process, find_url(attempt)), process.name)
        if not process.ended:
            return attempt
    raise RuntimeError(process.log.read_text(errors="replace"))


def _get_process(started: Daemon | UpstreamProcess | Process) -> Process:
    return started if isinstance(started, Process) else started.process


def _is_up_or_ended(process: Process, url: str) -> bool:
    return process.ended or is_up(url)
