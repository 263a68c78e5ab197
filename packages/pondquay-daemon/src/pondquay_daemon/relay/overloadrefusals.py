"""Refusal of requests that an overloaded instance cannot serve in time."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay.routing.fairshares import FairShares
from pondquay_daemon.relay.admission import UNAVAILABLE, Refusal
from pondquay_daemon.relay.sending import find_urgency

if TYPE_CHECKING:
    from random import Random

    from twisted.internet.interfaces import IReactorTime

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

    The less urgent are refused first; among those of one urgency, the workspaces that
    ask for most relative to what they usually get.

    :param enabled: whether requests may be refused for overload
    """

    def __init__(
        self,
        clock: IReactorTime,
        monitor: OverloadMonitor,
        loads: LoadLinks,
        random: Random,
        metrics: RelayMetrics,
        *,
        enabled: bool,
    ) -> None:
        self._clock = clock
        self._detector = monitor.detector
        self._loads = loads
        self._random = random
        self._metrics = metrics
        self._enabled = enabled
        self._shares: dict[int, FairShares] = defaultdict(FairShares)

    def check(self, admission: Admission) -> Refusal | None:
        """Return a refusal if the request should be served elsewhere."""
        if not self._enabled:
            return None
        urgency = find_urgency(admission.route, admission.workspace)
        if not self._should_refuse(admission, urgency):
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

    def _should_refuse(self, admission: Admission, urgency: int) -> bool:
        now = self._clock.seconds()
        workspace = "" if admission.workspace is None else admission.workspace.name
        tokens = admission.metadata.max_tokens
        shares = self._shares[urgency]
        shares.note_asked(workspace, tokens, now)
        fraction = self._detector.find_refused(urgency)
        if fraction > 0:
            fraction = shares.find_refused(workspace, fraction, now)
        if self._random.random() < fraction:
            return True
        shares.note_served(workspace, tokens, now)
        return False
