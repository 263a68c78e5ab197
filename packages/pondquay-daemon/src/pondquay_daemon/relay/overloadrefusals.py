"""Refusal of requests that an overloaded instance cannot serve in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.relay.admission import UNAVAILABLE, Refusal
from pondquay_daemon.relay.sending import find_urgency

if TYPE_CHECKING:
    from random import Random

    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.loadlinks import LoadLinks
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.overloadmonitor import OverloadMonitor

# Delays after which a refused caller should retry, at another instance: at once if a
# peer has room, otherwise once some load may have ended.
RETRY_ELSEWHERE_SECONDS = 0.05
RETRY_LATER_SECONDS = 1.0


class OverloadRefusals:
    """Refuses requests before anything is spent on them.

    :param enabled: whether requests may be refused for overload
    """

    def __init__(
        self,
        monitor: OverloadMonitor,
        loads: LoadLinks,
        random: Random,
        metrics: RelayMetrics,
        *,
        enabled: bool,
    ) -> None:
        self._detector = monitor.detector
        self._loads = loads
        self._random = random
        self._metrics = metrics
        self._enabled = enabled

    def check(self, admission: Admission) -> Refusal | None:
        """Return a refusal if the request should be served elsewhere."""
        if not self._enabled or self._detector.share <= 0:
            return None
        urgency = find_urgency(admission.route, admission.workspace)
        if not self._detector.should_refuse(urgency, self._random.random()):
            return None
        self._metrics.refused_overload.labels(str(urgency)).inc()
        seconds = (
            RETRY_ELSEWHERE_SECONDS
            if self._loads.has_peer_with_room()
            else RETRY_LATER_SECONDS
        )
        # Refused callers should not all return at the same time.
        seconds *= self._random.uniform(0.75, 1.25)
        return Refusal(UNAVAILABLE, "overloaded", round(seconds, 3))
