"""Counts from logs how many retries all instances together sent to each service."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pondquay_cli.logfiles import LogEvent


@dataclass(frozen=True, slots=True)
class UsedRetry:
    """A retry that an instance used.

    :ivar time: seconds, by the clock of the instance
    :ivar cause: why the request was sent again
    """

    time: float
    instance: str
    service: str
    request: str
    cause: str


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """The window in which a service was sent the most retries.

    :ivar began: time of its first retry, in seconds
    :ivar retries: the retries within it
    :ivar requests: most requests of the service that began in the window, in the
        previous one, or in the one that began half a window earlier
    """

    service: str
    began: float
    retries: Sequence[UsedRetry]
    requests: int

    @property
    def causes(self) -> Mapping[str, int]:
        """The number of retries by cause."""
        return Counter(retry.cause for retry in self.retries)

    @property
    def instances(self) -> Mapping[str, int]:
        """The number of retries by instance."""
        return Counter(retry.instance for retry in self.retries)


@dataclass(slots=True)
class _ServiceLog:
    """Retries of a service in order of their times, and when its requests began."""

    retries: list[UsedRetry] = field(default_factory=list)
    began: list[float] = field(default_factory=list)


def find_busiest_windows(
    events: Iterable[LogEvent], seconds: float
) -> list[RetryWindow]:
    """Return the window with the most retries of each service that has any.

    A retry with which nothing was sent does not count.

    :param seconds: length of the window
    """
    logs = _read_services(sorted(events, key=lambda event: event.time))
    return [
        _find_busiest(service, log, seconds)
        for service, log in sorted(logs.items())
        if log.retries
    ]


def _read_services(events: Iterable[LogEvent]) -> Mapping[str, _ServiceLog]:
    logs: defaultdict[str, _ServiceLog] = defaultdict(_ServiceLog)
    latest: dict[tuple[str, str], UsedRetry] = {}
    for event in events:
        request = event.fields.get("request", "")
        log = logs[event.fields.get("service", "")]
        if event.event == "retry-used":
            retry = UsedRetry(
                event.time,
                event.instance,
                event.fields["service"],
                request,
                event.fields["cause"],
            )
            latest[event.instance, request] = retry
            log.retries.append(retry)
        elif event.event == "retry-unused":
            unused = latest.pop((event.instance, request), None)
            if unused is not None:
                log.retries.remove(unused)
        elif event.event == "request-ended":
            log.began.append(event.time - float(event.fields["seconds"]))
    for log in logs.values():
        log.began.sort()
    return logs


def _find_busiest(service: str, log: _ServiceLog, seconds: float) -> RetryWindow:
    times = [retry.time for retry in log.retries]

    def count_from(index: int) -> int:
        return bisect_left(times, times[index] + seconds) - index

    first = max(range(len(times)), key=count_from)
    began = times[first]
    requests = max(
        _count(log.began, began - shift, began - shift + seconds)
        for shift in (0.0, seconds / 2, seconds)
    )
    retries = log.retries[first : first + count_from(first)]
    return RetryWindow(service, began, retries, requests)


def _count(times: Sequence[float], begin: float, end: float) -> int:
    return bisect_left(times, end) - bisect_left(times, begin)
