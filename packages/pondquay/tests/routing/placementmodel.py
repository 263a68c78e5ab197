"""Deterministic model of prompts at upstreams that process them one after another."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, TypeAlias

from pondquay.addresses import Address
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.pace import START_TOKENS, normalize_first, normalize_interval
from pondquay.routing.prompts import PromptPart, list_shared
from pondquay.routing.upstreamrecords import UpstreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable

PREFIXES = 200
SHARED_TOKENS = 4_000
SECONDS_PER_TOKEN = 1.1e-5
STREAM_SECONDS = 1.5
# Fraction of the prefills that take a multiple of the usual time.
NOISE_FRACTION = 0.15
NOISE_RATIO = 2.5
Prompt: TypeAlias = tuple[PromptPart, ...]


@dataclass
class Stream:
    """One request; it runs from its first event to its end."""

    upstream: int
    tokens: int
    arrived_at: float
    first_at: float
    ends_at: float
    pause: float = 0.0


@dataclass
class PlacementModel:
    """Upstreams of unlike pace and the requests that are placed at them.

    :param slowness: time that each upstream takes, relative to the usual one
    """

    slowness: list[float]
    upstreams: list[KnownUpstream] = field(default_factory=list)
    streams: list[Stream] = field(default_factory=list)
    tokens_read: int = 0

    def __post_init__(self) -> None:
        address = Address("10.0.0.1", 80)
        self.upstreams = [
            KnownUpstream(UpstreamRecord(f"u{n}", "judge", address, "a", 64), 1)
            for n in range(len(self.slowness))
        ]
        self._free_at = [0.0] * len(self.slowness)
        self._open: list[Stream] = []

    def run(
        self,
        place: Callable[[list[KnownUpstream], Prompt, float], KnownUpstream],
        rate: float,
        seconds: float,
        seed: int = 1,
    ) -> None:
        """Place requests at a mean rate, a few of which have very long prompts."""
        random = Random(seed)
        now = 0.0
        while now < seconds:
            now += random.expovariate(rate)
            shared = f"p{int(PREFIXES * random.random() ** 2)}"
            own = min(50_000, int(random.lognormvariate(7.5, 1.2)))
            noise = NOISE_RATIO if random.random() < NOISE_FRACTION else 1.0
            prompt = (PromptPart(shared, SHARED_TOKENS), PromptPart("own", own))
            self._end_streams(now)
            chosen = place(self.upstreams, prompt, now)
            self._begin(self.upstreams.index(chosen), prompt, now, noise)

    def late_fraction(self, objective: float, pause: float) -> float:
        """Return the fraction of requests that miss a target."""
        late = [
            stream.first_at - stream.arrived_at > objective or stream.pause > pause
            for stream in self.streams
        ]
        return sum(late) / len(late)

    def _begin(self, number: int, prompt: Prompt, now: float, noise: float) -> None:
        upstream, slowness = self.upstreams[number], self.slowness[number]
        tokens = upstream.prompts.count_uncached(prompt)
        starts_at = max(now, self._free_at[number])
        reading = tokens * SECONDS_PER_TOKEN * slowness * noise
        start = START_TOKENS * SECONDS_PER_TOKEN * slowness
        self._free_at[number] = starts_at + reading
        for other in self._open:
            if other.upstream == number and other.first_at < starts_at < other.ends_at:
                other.pause = max(other.pause, reading)
        first_at = starts_at + reading + start
        seconds = STREAM_SECONDS * slowness
        stream = Stream(number, tokens, now, first_at, first_at + seconds)
        self.streams.append(stream)
        self._open.append(stream)
        self.tokens_read += tokens
        upstream.running += 1
        upstream.prompts.own += tokens
        upstream.prompts.note_prefilled(list_shared(prompt))

    def _end_streams(self, now: float) -> None:
        for stream in self._open:
            upstream = self.upstreams[stream.upstream]
            if stream.first_at <= now and stream.tokens:
                seconds = stream.first_at - stream.arrived_at
                pace = normalize_first(seconds, upstream.prompts.waiting)
                upstream.pace.reading.note(pace, now)
                upstream.prompts.own -= stream.tokens
                stream.tokens = 0
            if stream.ends_at <= now:
                interval = 0.05 * self.slowness[stream.upstream]
                pace = normalize_interval(interval, 0)
                upstream.pace.events.note(pace, now)
                upstream.running -= 1
        self._open = [stream for stream in self._open if stream.ends_at > now]
