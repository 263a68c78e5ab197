"""Measurement of this instance's load, and its consequences for upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.overload import LoadLevel, OverloadDetector
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.dialing import CONNECT_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay.routes.table import RouteTable
    from pondquay.routing.knownupstreams import KnownUpstream

SAMPLE_SECONDS = 0.1
# An upstream that sent nothing for longer may be unreachable, also while this instance
# is overloaded.
MAX_SILENT_SECONDS = 4.0


class OverloadMonitor:
    """Measures how late timers run, and reports changes of the load level.

    :ivar detector: derives the level
    :ivar on_change: called after each change of the level
    :ivar on_sample: called after each measurement
    """

    def __init__(self, clock: IReactorTime) -> None:
        self._clock = clock
        self._due_at = 0.0
        self.detector = OverloadDetector()
        self.on_change: Callable[[], None] | None = None
        self.on_sample: Callable[[], None] | None = None

    @property
    def overloaded(self) -> bool:
        """Whether this instance is overloaded."""
        return self.detector.level is LoadLevel.OVERLOADED

    def start(self) -> None:
        """Start to measure."""
        self._schedule()

    def apply_table(self, table: RouteTable) -> None:
        """Adapt the thresholds to the objectives of the routes."""
        objectives = [route.objective for route in table.configuration.routes]
        if objectives:
            self.detector.objective = min(objectives)

    def note_connected(self, address: Address, seconds: float) -> None:
        """Record how long a connection to an upstream took to open."""
        self.detector.connects.note(str(address), seconds, self._clock.seconds())

    def note_connect_failure(self, upstream: KnownUpstream, *, refused: bool) -> bool:
        """Record a connection that could not be opened.

        :param refused: whether the upstream's host refused it
        :returns: whether this instance is the likely cause
        """
        if refused:
            return False
        now = self._clock.seconds()
        # An upstream that responded while the connection was being opened is reachable.
        silent_seconds = now - upstream.last_seen_at
        if silent_seconds < CONNECT_SECONDS:
            self.note_connected(upstream.record.address, CONNECT_SECONDS)
        return self.overloaded and silent_seconds < MAX_SILENT_SECONDS

    def _schedule(self) -> None:
        self._due_at = self._clock.seconds() + SAMPLE_SECONDS
        self._clock.callLater(SAMPLE_SECONDS, self._sample)

    def _sample(self) -> None:
        now = self._clock.seconds()
        lag = now - self._due_at
        previous = self.detector.level
        changed = self.detector.update(lag, now)
        if changed:
            self._log_change(previous, lag)
            if self.on_change is not None:
                self.on_change()
        if self.on_sample is not None:
            self.on_sample()
        self._schedule()

    def _log_change(self, previous: LoadLevel, lag: float) -> None:
        detector = self.detector
        log_event(
            "load-level",
            Level.WARNING if self.overloaded else Level.INFO,
            load=detector.level.name.lower(),
            previous=previous.name.lower(),
            lag=round(detector.lag, 4),
            latest=round(lag, 4),
            objective=detector.objective,
            connect=round(detector.excess, 4),
        )
