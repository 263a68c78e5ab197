"""What an instance knows of an upstream: lagging reports and its own requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from pondquay.routing.circuits import Circuit

ENGINE = "engine"
SERVICE = "service"
PACE_WEIGHT = 0.1
# Requests at an upstream at the same time, over its places.
PLACES_BY_RANK = (2.0, 0.9, 0.75)


class UpstreamState(StrEnum):
    """Whether an upstream may be given new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream said of itself.

    :param tokens: output tokens that it had still to produce
    :param streams: requests that it ran or kept waiting
    :param received: when the report came, in seconds
    """

    tokens: int
    slots: int
    received: float
    streams: int = 0
    models: tuple[tuple[str, str], ...] = ()
    boot: str = ""


@dataclass(slots=True)
class Upstream:
    """One upstream as this instance sees it.

    :param serves: for engines the model's name, for services the service's
    :param outstanding: reserved tokens of this instance's own requests there
    :param since_report: tokens that this instance sent since the last report
    :param sent: requests that this instance sent since the last report
    :param pace: seconds between two tokens of a stream there, as lately observed
    :param backoff_until: until when it wants no request of this instance, in seconds
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
    since_report: int = 0
    sent: int = 0
    pace: float = 0.0
    backoff_until: float = 0.0
    circuit: Circuit = field(default_factory=Circuit)
    prefixes: dict[str, int] = field(default_factory=dict)

    def apply_report(self, report: LoadReport) -> None:
        """Replace the last report by a newer one.

        A life that begins anew has asked for nothing.
        """
        if self.report is not None and report.boot != self.boot:
            self.backoff_until = 0.0
        self.report = report
        self.since_report = 0
        self.sent = 0

    @property
    def load(self) -> int:
        """Tokens that are probably ahead of a new request.

        The last report counts what all instances had sent; added to it is what this
        instance sent since, and at least its own requests in flight.
        """
        reported = 0 if self.report is None else self.report.tokens
        return max(reported + self.since_report, self.outstanding)

    @property
    def boot(self) -> str:
        """The upstream's present life, as it last said."""
        return "" if self.report is None else self.report.boot

    @property
    def slots(self) -> int:
        """Requests that the upstream runs at the same time."""
        return 1 if self.report is None else max(1, self.report.slots)

    def has_capacity(self, rank: int) -> bool:
        """Tell whether a request of some priority may be sent there now.

        Running streams are not interrupted, so a part of the places is kept free for
        more urgent requests; the most urgent may even wait at the upstream.

        :param rank: priority, 0 is the most urgent
        """
        reported = 0 if self.report is None else self.report.streams
        busy = max(reported + self.sent, self.running)
        return busy < PLACES_BY_RANK[rank] * self.slots

    def note_backoff(self, seconds: float, now: float) -> None:
        """Learn that it wants no request of this instance for some more seconds."""
        self.backoff_until = max(self.backoff_until, now + seconds)

    def observe_pace(self, seconds: float) -> None:
        """Take in how long a token of a stream took."""
        if self.pace == 0.0:
            self.pace = seconds
        self.pace += PACE_WEIGHT * (seconds - self.pace)

    def begin(self, tokens: int) -> None:
        """Note that a request of this instance starts there."""
        self.outstanding += tokens
        self.since_report += tokens
        self.sent += 1
        self.running += 1

    def end(self, tokens: int) -> None:
        """Note that a request of this instance ended there."""
        self.outstanding -= tokens
        self.running -= 1

    def serves(self, model: str, version: str) -> bool:
        """Tell whether the upstream has this version of a model loaded."""
        return self.report is not None and (model, version) in self.report.models
