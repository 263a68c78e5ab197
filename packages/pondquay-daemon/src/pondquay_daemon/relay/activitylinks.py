"""Exchange of what instances run at upstreams, and of the pace that they observe."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, ClassVar
from zlib import crc32

from pondquay.routing.activity import scale_heard
from pondquay_daemon.relay.linkplans import MAX_FAR_LINKS
from pondquay_daemon.relay.peermessages import UpstreamActivity, encode_message
from pondquay_daemon.relay.peertopics import PeerTopic

if TYPE_CHECKING:
    from collections.abc import Collection

    from twisted.internet.interfaces import IDelayedCall, IReactorTime

    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peers import PeerMesh

# Minimum interval between two messages.
MIN_INTERVAL_SECONDS = 0.25
# Maximum mean bandwidth of the messages to all peers; the interval grows with the
# number of peers so that it is kept.
MAX_BYTES_PER_SECOND = 2_000
# Minimum interval between two searches for upstreams that peers mention.
NAMES_SECONDS = 1.0
# Maximum number of upstreams in a message whose observed pace it reports. It changes
# seldom, and all instances of a domain together observe more than needs to be told.
MAX_PACES = 2
TOKENS_PER_UNIT = 1_000
NANOSECONDS = 1e9
MICROSECONDS = 1e6


def number_upstream(name: str) -> int:
    """Return the number that identifies an incarnation of an upstream in messages.

    Names take several times as many bytes. If two incarnations have the same number,
    the activity of both counts for each, which makes them seem busier.
    """
    return crc32(name.encode())


class ActivityLinks(PeerTopic):
    """Announces this instance's activity to its peers and records theirs.

    In a large fleet, only instances of the same failure domain tell each other.

    :param domain: failure domain of this instance
    :param shares: whether to announce anything
    """

    MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (UpstreamActivity,)

    def __init__(
        self,
        clock: IReactorTime,
        mesh: PeerMesh,
        directory: UpstreamDirectory,
        domain: str,
        *,
        shares: bool,
    ) -> None:
        self._clock = clock
        self._mesh = mesh
        self._directory = directory
        self._domain = domain
        self._shares = shares
        # Linked peers that support the messages.
        self._near: set[str] = set()
        self._far: set[str] = set()
        self._was_large = False
        self._changed: dict[str, KnownUpstream] = {}
        self._announced: dict[str, tuple[int, int]] = {}
        self._readings: dict[str, list[float]] = {}
        self._intervals: dict[str, list[float]] = {}
        self._names: dict[int, list[str]] = {}
        self._names_read_at = -math.inf
        self._timer: IDelayedCall | None = None
        self._next_at = 0.0
        mesh.add_topic(self)

    @property
    def scale(self) -> float:
        """The factor from the heard peers' counts to those of all peers."""
        return scale_heard(len(self._mesh.domains), len(self._list_told()))

    def note_changed(self, upstream: KnownUpstream) -> None:
        """Schedule an announcement of what this instance runs at an upstream."""
        if self._shares:
            self._changed[upstream.name] = upstream
            self._schedule()

    def note_reading(self, upstream: KnownUpstream, pace: float) -> None:
        """Record and announce an observed time per prompt token, in seconds."""
        upstream.pace.reading.note(pace, self._clock.seconds())
        if self._shares:
            self._readings.setdefault(upstream.name, []).append(pace)
            self._schedule()

    def note_interval(self, upstream: KnownUpstream, pace: float) -> None:
        """Record and announce an observed interval between events per request."""
        upstream.pace.events.note(pace, self._clock.seconds())
        if self._shares:
            self._intervals.setdefault(upstream.name, []).append(pace)
            self._schedule()

    def count_running(self, upstream: KnownUpstream) -> float:
        """Return the estimated requests of all instances at an upstream."""
        return upstream.running + self.scale * upstream.activity.heard_running

    def find_busiest(self) -> float:
        """Return the estimated requests of all instances at the busiest upstream."""
        return max(map(self.count_running, self._directory.all()), default=0.0)

    def make_greeting(self) -> UpstreamActivity:
        """Return an empty message; what runs follows once the peer is known."""
        return UpstreamActivity([], [])

    def note_supported(self, link: PeerLink) -> None:
        """Tell a peer what this instance runs, unless it is too far."""
        if not link.supports(UpstreamActivity):
            return
        is_near = self._mesh.domains.get(link.instance) == self._domain
        (self._near if is_near else self._far).add(link.instance)
        running = [
            _pack_running(upstream)
            for upstream in self._directory.all()
            if upstream.running
        ]
        if running and self._shares and link.instance in self._list_told():
            link.send(UpstreamActivity(running, []))

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Record the activity of a peer."""
        if not isinstance(message, UpstreamActivity):
            return
        if link.instance not in self._list_told():
            return
        for number, running, tokens in message.running:
            for upstream in self._find(number):
                upstream.activity.receive(
                    link.instance, running, TOKENS_PER_UNIT * tokens
                )
        now = self._clock.seconds()
        for number, reading, interval in message.paces:
            for upstream in self._find(number):
                upstream.pace.reading.note(reading / NANOSECONDS, now)
                upstream.pace.events.note(interval / MICROSECONDS, now)

    def note_disconnected(self, link: PeerLink) -> None:
        """Discard the activity of a peer."""
        self._near.discard(link.instance)
        self._far.discard(link.instance)
        self._directory.forget_activity(link.instance)

    def list_requested(self) -> Collection[str]:
        """Return no instances; the usual links are enough."""
        return ()

    def _find(self, number: int) -> list[KnownUpstream]:
        """Return the upstreams that a number identifies, usually one or none."""
        if number not in self._names:
            self._read_names()
        known = map(self._directory.find, self._names.get(number, ()))
        return [upstream for upstream in known if upstream is not None]

    def _read_names(self) -> None:
        now = self._clock.seconds()
        if now < self._names_read_at + NAMES_SECONDS:
            return
        self._names_read_at = now
        self._names = {}
        for upstream in self._directory.all():
            number = number_upstream(upstream.name)
            self._names.setdefault(number, []).append(upstream.name)

    def _list_told(self) -> set[str]:
        """Return the peers that this instance and that tell it of their activity."""
        is_large = len(self._mesh.domains) > MAX_FAR_LINKS
        if is_large and not self._was_large:
            for peer in self._far:
                self._directory.forget_activity(peer)
        self._was_large = is_large
        return self._near if is_large else self._near | self._far

    def _schedule(self) -> None:
        if self._timer is not None:
            return
        wait = max(MIN_INTERVAL_SECONDS, self._next_at - self._clock.seconds())
        self._timer = self._clock.callLater(wait, self._announce)

    def _announce(self) -> None:
        self._timer = None
        message = UpstreamActivity(self._take_running(), self._take_paces())
        links = self._list_links()
        if not links or not (message.running or message.paces):
            return
        data = encode_message(message)
        for link in links:
            link.send_bytes(data)
        pause = len(data) * len(links) / MAX_BYTES_PER_SECOND
        self._next_at = self._clock.seconds() + pause

    def _list_links(self) -> list[PeerLink]:
        links = [self._mesh.find_link(peer) for peer in self._list_told()]
        return [link for link in links if link is not None]

    def _take_running(self) -> list[tuple[int, int, int]]:
        """Return what has changed since the last message."""
        changes = []
        for name, upstream in self._changed.items():
            count = upstream.running, upstream.activity.tokens
            if count == self._announced.get(name, (0, 0)):
                continue
            changes.append(_pack_running(upstream))
            if any(count):
                self._announced[name] = count
            else:
                self._announced.pop(name, None)
        self._changed.clear()
        return changes

    def _take_paces(self) -> list[tuple[int, int, int]]:
        """Return some observations since the last message, the median of each."""
        names = {**self._readings, **self._intervals}
        paces = [
            (
                number_upstream(name),
                _pack_median(self._readings.get(name), NANOSECONDS),
                _pack_median(self._intervals.get(name), MICROSECONDS),
            )
            for name in list(names)[:MAX_PACES]
        ]
        self._readings.clear()
        self._intervals.clear()
        return paces


def _pack_running(upstream: KnownUpstream) -> tuple[int, int, int]:
    tokens = round(upstream.activity.tokens / TOKENS_PER_UNIT)
    return number_upstream(upstream.name), upstream.running, tokens


def _pack_median(values: list[float] | None, scale: float) -> int:
    if not values:
        return 0
    return round(scale * sorted(values)[len(values) // 2])
