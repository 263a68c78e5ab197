"""Pace of the upstreams of a service relative to each other.

Upstreams of one service may run on unlike hardware. Their paces are compared with the
median of the service, so a service that is slow as a whole has no slow upstreams.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log2
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.pace import Pace, RobustAverage

# Steps of an upstream's share from one power of two to the next.
SHARE_STEPS = 2
# An upstream that differs from the usual share by fewer steps has the usual share.
MIN_SHARE_STEPS = 2
# Minimum time that an upstream is assumed to take, relative to the usual one. A wrong
# observation that makes an upstream seem quick must not draw much of the load there.
MIN_RATIO = 0.7
# Interval after which the pace of a service is measured again, as each choice of an
# upstream would take several times as long with a new measurement.
REFRESH_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class RelativePace:
    """What is expected of an upstream.

    :param seconds_per_token: seconds to the first event per prompt token
    :param slowness: time that it takes, relative to the median of its service, which is
        1
    :param share: relative share of the prefixes for which it is the first in rank. With
        1 to the square of its slowness, the streams at a slow upstream pause for as
        much of their time as others: its prefills take longer, and its streams last
        longer, so they meet more of them. It is rounded, so that instances agree on it
        although their observations differ
    """

    seconds_per_token: float
    slowness: float
    share: float


class ServicePace:
    """The pace of the upstreams of one service, as of one time.

    :param paces: observations of each upstream, by its name; some are known
    :ivar usual: what is expected of an upstream that was not observed
    """

    def __init__(self, paces: Mapping[str, Pace], now: float) -> None:
        reading = _find_median(pace.reading for pace in paces.values())
        events = _find_median(pace.events for pace in paces.values())
        self.measured_at = now
        self.usual = RelativePace(exp(reading), 1.0, 1.0)
        self._relative: dict[str, RelativePace] = {}
        for name, pace in paces.items():
            reading_ratio = _estimate_ratio(pace.reading, reading, now)
            # Many intervals between events are observed, and prompts that wait
            # elsewhere in the fleet do not change them.
            slowness = (
                _estimate_ratio(pace.events, events, now)
                if pace.events.is_known()
                else reading_ratio
            )
            seconds = reading_ratio * exp(reading)
            self._relative[name] = RelativePace(
                seconds, slowness, _choose_share(slowness)
            )

    def find(self, name: str) -> RelativePace:
        """Return what is expected of an upstream, the usual if it was not observed."""
        return self._relative.get(name, self.usual)

    def count_slow(self) -> int:
        """Return the number of upstreams that get a smaller share of the prefixes."""
        return sum(relative.share < 1 for relative in self._relative.values())


class PaceTable:
    """The pace of the upstreams of all services, measured again periodically."""

    def __init__(self) -> None:
        self._by_service: dict[str, ServicePace] = {}

    def measure(
        self, upstreams: Sequence[KnownUpstream], now: float
    ) -> ServicePace | None:
        """Return the pace of a service.

        :param upstreams: upstreams of the service, at least one
        :returns: ``None`` as long as the pace of none of them was observed
        """
        service = upstreams[0].record.service
        known = self._by_service.get(service)
        if known is not None and now < known.measured_at + REFRESH_SECONDS:
            return known
        if not any(upstream.pace.reading.is_known() for upstream in upstreams):
            return known
        paces = {upstream.name: upstream.pace for upstream in upstreams}
        self._by_service[service] = ServicePace(paces, now)
        return self._by_service[service]

    def count_slow(self) -> int:
        """Return the number of slow upstreams of all services."""
        return sum(service.count_slow() for service in self._by_service.values())


def _estimate_ratio(average: RobustAverage, usual: float, now: float) -> float:
    """Return the ratio of an average to the usual one, whose logarithm is given."""
    return max(MIN_RATIO, average.estimate(usual, now) / exp(usual))


def _choose_share(slowness: float) -> float:
    """Return the share of an upstream, in steps that noise does not cross often.

    A quick one has the usual share: among alike upstreams of a small fleet, moments in
    which one seems quick would move prefixes away from their cached parts.
    """
    steps = round(SHARE_STEPS * 2 * log2(slowness))
    return 1.0 if steps < MIN_SHARE_STEPS else float(2.0 ** (-steps / SHARE_STEPS))


def _find_median(averages: Iterable[RobustAverage]) -> float:
    """Return the median level of the known averages, 0 if there are none."""
    levels = sorted(average.level for average in averages if average.is_known())
    return levels[len(levels) // 2] if levels else 0.0
