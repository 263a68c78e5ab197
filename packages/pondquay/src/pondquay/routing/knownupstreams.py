"""One life of an upstream, and what an instance has seen of it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.routing.circuits import Circuit
from pondquay.routing.pauses import PauseRecord
from pondquay.routing.permitcache import PermitCache
from pondquay.routing.promptload import PromptLoad
from pondquay.routing.ratelimits import NEVER_REPORTED, PermitIssuer, RateLimit

if TYPE_CHECKING:
    from pondquay.routing.upstreamrecords import UpstreamRecord


@dataclass(slots=True)
class KnownUpstream:
    """An upstream and what this instance has seen of it.

    :param version: of the list's row that the record is from
    :param missing_since: when its row was gone, in seconds
    :param expires: when it is taken to have left since its row is gone, in seconds;
        ``None`` while its row may have lapsed for the store's sake
    :param running: requests of this instance that are there now
    :param prompts: what waits to be read there and what has been
    :param pauses: how long its streams pause while it reads prompts
    :param last_seen_at: when anything last came from it, in seconds
    :param last_sent_at: when a request was last placed there, in seconds
    :param cold_until: until when it may be cold, in seconds
    :param backoff_until: until when it wants no request of this instance, in seconds
    :param limit: what it takes from all instances together, as it last said
    :param alive_at: a moment after which this life has written its row, in seconds
    :param delivered_at: by when the latest request had reached its upstream whose answer
        said something of the upstream, in seconds
    :param said_leaving_at: when such an answer last said that it leaves, in seconds
    :param doubted_since: set while an answer that said so may be this life's: when it
        came, in seconds
    :param permits: to send there while it is limited
    :param issuer: issues them, where this instance does that
    """

    record: UpstreamRecord
    version: int
    leaving: bool = False
    missing_since: float | None = None
    expires: float | None = None
    running: int = 0
    prompts: PromptLoad = field(default_factory=PromptLoad)
    pauses: PauseRecord = field(default_factory=PauseRecord)
    last_seen_at: float = 0.0
    last_sent_at: float | None = None
    cold_until: float = 0.0
    backoff_until: float = 0.0
    limit: RateLimit = NEVER_REPORTED
    alive_at: float = -math.inf
    delivered_at: float = -math.inf
    said_leaving_at: float = -math.inf
    doubted_since: float | None = None
    circuit: Circuit = field(default_factory=Circuit)
    permits: PermitCache = field(default_factory=PermitCache)
    issuer: PermitIssuer = field(default_factory=PermitIssuer)

    @property
    def name(self) -> str:
        """The name of this life of the upstream."""
        return self.record.incarnation

    def note_cold(self, seconds: float, now: float) -> None:
        """Learn that it may be cold for some more seconds.

        News of it is late and comes from several sides; the longest holds, since one
        that gets its usual work while it is cold falls over.
        """
        self.cold_until = max(self.cold_until, now + seconds)

    def note_backoff(self, seconds: float, now: float) -> None:
        """Learn that it wants no request of this instance for some more seconds.

        Answers overtake each other, and each is meant by itself, so the longest holds.
        """
        self.backoff_until = max(self.backoff_until, now + seconds)

    def note_limit(self, limit: RateLimit, requested_at: float = math.inf) -> bool:
        """Learn what it takes from all instances together; the newest word holds.

        :param requested_at: when the request was placed whose answer says so, in seconds;
            one that was made before the word that is known does not lift a limit
        :returns: whether it is another limit than was known
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
        """Tell whether it names a limit for all instances together."""
        return self.limit.rate is not None

    def in_backoff(self, now: float) -> bool:
        """Tell whether it wants no request of this instance now."""
        return now < self.backoff_until

    def has_departed(self, now: float) -> bool:
        """Tell whether it gets no new work for good, or until a newer row comes."""
        if self.leaving or self.doubted_since is not None:
            return True
        return self.expires is not None and self.expires <= now

    def note_written(self, after: float | None) -> None:
        """Learn that it has written its row, which does not say that it leaves.

        :param after: a moment after which it has, in seconds, ``None`` if none is known
        """
        if after is None:
            return
        self.alive_at = max(self.alive_at, after)
        if self.doubted_since is not None and self.alive_at >= self.doubted_since:
            self.doubted_since = None

    def doubt(self, before: KnownUpstream) -> None:
        """Take over what answers said that may be this life's and not the one's before.

        Until its row is read a life is taken for the one before. What an answer said is
        surely of that one where it has written its row after the request reached it. A
        back-off is taken over whole: it costs a life that did not ask for it some
        seconds at one instance. A limit holds until its first answer. That it leaves
        holds until it writes a row that does not say so, a heartbeat later at most.
        """
        if before.delivered_at <= before.alive_at:
            return
        self.delivered_at = max(self.delivered_at, before.delivered_at)
        self.backoff_until = max(self.backoff_until, before.backoff_until)
        if before.is_limited():
            self.note_limit(before.limit)
        self.said_leaving_at = max(self.said_leaving_at, before.said_leaving_at)
        if self.alive_at < self.said_leaving_at:
            self.doubted_since = self.said_leaving_at
