"""Incarnations of upstreams, and what an instance has observed of each."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.routing.activity import Activity
from pondquay.routing.circuits import Circuit
from pondquay.routing.pace import Pace
from pondquay.routing.pauses import PauseRecord
from pondquay.routing.permitcache import PermitCache
from pondquay.routing.promptload import PromptLoad
from pondquay.routing.ratelimits import NEVER_REPORTED, PermitIssuer, RateLimit

if TYPE_CHECKING:
    from pondquay.routing.upstreamrecords import UpstreamRecord


@dataclass(slots=True)
class KnownUpstream:
    """An incarnation of an upstream and what this instance has observed of it.

    All times are in seconds of this instance's clock.

    :param version: version of the row from which the record was read
    :param leaving: whether it has announced its departure or has been replaced
    :param missing_since: when its row was removed from the list; ``None`` while the row
        is listed
    :param expires_at: when it counts as departed because its row is missing; ``None``
        while the row may have expired in an outage of the store
    :param running: requests of this instance that run there
    :param prompts: its cached prompt parts and the tokens that wait for prefill
    :param pauses: pauses of its streams during prefills
    :param activity: what all instances run there
    :param pace: how fast it processes prompts and sends events
    :param last_seen_at: when anything was last received from it
    :param last_sent_at: when this instance last chose it for a request
    :param cold_until: time until which it may be cold
    :param backoff_until: time until which this instance sends it no requests
    :param limit: its rate limit for all instances together, as last reported
    :param rejection_bound: requests per second that it can reject from all instances
        together, as its latest response says; ``None`` if any number
    :param written_after: latest time after which this incarnation is known to have
        written its row
    :param delivered_at: latest time at which a request can have been delivered whose
        response carried a signal; a later incarnation may have sent that response
    :param announced_leaving_at: when a response last announced that it leaves
    :param maybe_leaving_since: when a response announced a departure that may be of
        this incarnation or of the previous one; ``None`` if there is none or if this
        incarnation has since written a row that does not announce it
    :param permits: permits to send there while it is limited
    :param circuit: its circuit breaker
    :param issuer: issues the permits while this instance is the issuer
    :ivar name: the name of this incarnation
    """

    record: UpstreamRecord
    version: int
    leaving: bool = False
    missing_since: float | None = None
    expires_at: float | None = None
    running: int = 0
    prompts: PromptLoad = field(default_factory=PromptLoad)
    pauses: PauseRecord = field(default_factory=PauseRecord)
    activity: Activity = field(default_factory=Activity)
    pace: Pace = field(default_factory=Pace)
    last_seen_at: float = 0.0
    last_sent_at: float | None = None
    cold_until: float = 0.0
    backoff_until: float = 0.0
    limit: RateLimit = NEVER_REPORTED
    rejection_bound: float | None = None
    written_after: float = -math.inf
    delivered_at: float = -math.inf
    announced_leaving_at: float = -math.inf
    maybe_leaving_since: float | None = None
    circuit: Circuit = field(default_factory=Circuit)
    permits: PermitCache = field(default_factory=PermitCache)
    issuer: PermitIssuer = field(default_factory=PermitIssuer)
    name: str = field(init=False)

    def __post_init__(self) -> None:
        """Keep the name, which is the same in all records of an incarnation."""
        self.name = self.record.incarnation

    def note_cold(self, seconds: float, now: float) -> None:
        """Record that it may be cold for some more seconds.

        Reports arrive late and from several sources. The latest end applies, since a
        cold upstream fails under its usual load.
        """
        self.cold_until = max(self.cold_until, now + seconds)

    def note_backoff(self, seconds: float, now: float) -> None:
        """Record that it accepts no request of this instance for some more seconds.

        Responses may arrive out of order, so the latest end applies.
        """
        self.backoff_until = max(self.backoff_until, now + seconds)

    def note_limit(self, limit: RateLimit, requested_at: float = math.inf) -> bool:
        """Record its rate limit for all instances; the newest report applies.

        :param requested_at: when the request was sent whose response reports the
            limit, in seconds; if it was sent before the known report, the response
            does not raise the limit
        :returns: whether the rate changed
        """
        known = self.limit
        if limit.reported_at < known.reported_at:
            return False
        if requested_at < known.reported_at and limit.allows_more(known):
            return False
        self.limit = limit
        if limit.rate == known.rate:
            return False
        self.permits.reset()
        return True

    def is_limited(self) -> bool:
        """Return whether it has a rate limit for all instances together."""
        return self.limit.rate is not None

    def in_backoff(self, now: float) -> bool:
        """Return whether it accepts no request of this instance now."""
        return now < self.backoff_until

    def has_departed(self, now: float) -> bool:
        """Return whether it counts as departed, so that it gets no new requests.

        A newer row may restore it, unless ``leaving`` is set.
        """
        if self.leaving or self.maybe_leaving_since is not None:
            return True
        return self.expires_at is not None and self.expires_at <= now

    def note_written(self, after: float | None) -> None:
        """Record that it has written its row without announcing that it leaves.

        :param after: time after which it must have written the row, in seconds,
            ``None`` if unknown
        """
        if after is None:
            return
        self.written_after = max(self.written_after, after)
        if (
            self.maybe_leaving_since is not None
            and self.written_after >= self.maybe_leaving_since
        ):
            self.maybe_leaving_since = None

    def inherit_signals(self, previous: KnownUpstream) -> None:
        """Copy signals from responses that this incarnation may have sent.

        Until the row of a new incarnation is read, its responses are attributed to the
        previous incarnation. If the previous incarnation wrote its row after the
        request was delivered, it has sent the response itself, and nothing is copied.

        A copied back-off applies in full; at worst, this instance sends no requests for
        some seconds. A limit applies until this incarnation's first response.
        An announced departure applies until this incarnation writes a row that does not
        announce it, at most a heartbeat later.
        """
        if previous.delivered_at <= previous.written_after:
            return
        self.delivered_at = max(self.delivered_at, previous.delivered_at)
        self.backoff_until = max(self.backoff_until, previous.backoff_until)
        if previous.is_limited():
            self.note_limit(previous.limit)
        self.announced_leaving_at = max(
            self.announced_leaving_at, previous.announced_leaving_at
        )
        if self.written_after < self.announced_leaving_at:
            self.maybe_leaving_since = self.announced_leaving_at
