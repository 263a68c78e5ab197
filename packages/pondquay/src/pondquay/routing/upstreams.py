"""State of an upstream as known to an instance: load reports and own requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from pondquay.routing.circuits import Circuit

# Kinds of upstreams.
ENGINE = "engine"
SERVICE = "service"
# Weight of the latest sample in the moving average of the pace.
PACE_WEIGHT = 0.1
# Maximum requests at an upstream for each rank, relative to its slots.
SLOT_RATIO_BY_RANK = (2.0, 0.9, 0.75)


class UpstreamState(StrEnum):
    """Whether an upstream may get new requests."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an upstream reported.

    :param tokens: output tokens yet to be generated
    :param slots: maximum requests that the upstream runs at the same time
    :param received: when the report was received, in seconds
    :param streams: running and queued requests
    :param models: name and version of each loaded model
    :param boot: identifies the upstream's incarnation
    """

    tokens: int
    slots: int
    received: float
    streams: int = 0
    models: tuple[tuple[str, str], ...] = ()
    boot: str = ""


@dataclass(slots=True)
class Upstream:
    """One upstream as known to this instance.

    :param kind: ``ENGINE`` or ``SERVICE``
    :param outstanding: reserved tokens of this instance's requests there
    :param running: requests of this instance that run there
    :param tokens_since_report: tokens that this instance sent since the last report
    :param sent_since_report: requests that this instance sent since the last report
    :param pace: seconds per token of a stream there, as a moving average; 0 if unknown
    :param backoff_until: time until which this instance sends it no requests, in
        seconds
    :param prefixes: an ordered set of the prompt prefixes that it reported as cached;
        the values have no meaning
    """

    name: str
    kind: str
    domain: str
    url: str
    partner: str
    state: UpstreamState = UpstreamState.LIVE
    report: LoadReport | None = None
    outstanding: int = 0
    running: int = 0
    tokens_since_report: int = 0
    sent_since_report: int = 0
    pace: float = 0.0
    backoff_until: float = 0.0
    circuit: Circuit = field(default_factory=Circuit)
    prefixes: dict[str, int] = field(default_factory=dict)

    def apply_report(self, report: LoadReport) -> None:
        """Replace the last report with a newer one.

        A report of a new incarnation ends the back-off, which the previous incarnation
        requested.
        """
        if self.report is not None and report.boot != self.boot:
            self.backoff_until = 0.0
        self.report = report
        self.tokens_since_report = 0
        self.sent_since_report = 0

    @property
    def load(self) -> int:
        """Estimated tokens ahead of a new request.

        The last report covers the requests of all instances, and the tokens that this
        instance has sent since are added. The estimate is never lower than this
        instance's own outstanding tokens.
        """
        reported = 0 if self.report is None else self.report.tokens
        return max(reported + self.tokens_since_report, self.outstanding)

    @property
    def boot(self) -> str:
        """The upstream's current incarnation as last reported, empty if unknown."""
        return "" if self.report is None else self.report.boot

    @property
    def slots(self) -> int:
        """Maximum requests that the upstream runs at the same time."""
        return 1 if self.report is None else max(1, self.report.slots)

    def has_capacity(self, rank: int) -> bool:
        """Return whether a request of the given priority may be sent there now.

        Running streams are not interrupted, so a fraction of the slots is kept free for
        more urgent requests. The most urgent requests may even queue at the upstream.

        :param rank: index of the priority; 0 is the most urgent
        """
        reported = 0 if self.report is None else self.report.streams
        busy = max(reported + self.sent_since_report, self.running)
        return busy < SLOT_RATIO_BY_RANK[rank] * self.slots

    def note_backoff(self, seconds: float, now: float) -> None:
        """Record that it accepts no request of this instance for some more seconds."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def observe_pace(self, seconds: float) -> None:
        """Record the time that a stream took per token."""
        if self.pace == 0.0:
            self.pace = seconds
        self.pace += PACE_WEIGHT * (seconds - self.pace)

    def begin(self, tokens: int) -> None:
        """Count a request of this instance that starts there."""
        self.outstanding += tokens
        self.tokens_since_report += tokens
        self.sent_since_report += 1
        self.running += 1

    def end(self, tokens: int) -> None:
        """Count a request of this instance that ended there."""
        self.outstanding -= tokens
        self.running -= 1

    def serves(self, model: str, version: str) -> bool:
        """Return whether the upstream has this version of a model loaded."""
        return self.report is not None and (model, version) in self.report.models
