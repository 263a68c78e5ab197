"""The order in which waiting requests get room that is short.

More urgent requests go first: by their workspace's priority, then by their route's.
Among workspaces of the same rank, a virtual counter of tokens decides, which each
request raises by its tokens relative to the usual demand of its workspace. A workspace
that asks for several times its usual, or whose callers repeat at once, therefore waits
behind its own requests only.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.routing.tokenrates import MAX_WORKSPACES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pondquay.routing.tokenrates import TokenRates

# Waiting requests of one service at an instance.
MAX_WAITING = 256
# Weight of the latest interval in the moving average of the pace.
PACE_WEIGHT = 0.2


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The urgency of a request; lower ranks go first.

    :param workspace: priority of its workspace
    :param route: priority of its route
    """

    workspace: int
    route: int


@dataclass(eq=False, slots=True)
class Claim:
    """A request that waits for room.

    :param workspace: empty if it belongs to none
    :param tokens: the most that it can cost
    :param until: time by which it must have room to be served in time, in seconds
    """

    rank: Rank
    workspace: str
    tokens: int
    until: float


@dataclass(slots=True)
class _Line:
    """The waiting requests of one rank, by workspace."""

    by_workspace: dict[str, deque[Claim]] = field(
        default_factory=lambda: defaultdict(deque)
    )

    def remove(self, claim: Claim) -> bool:
        claims = self.by_workspace.get(claim.workspace)
        if claims is None or claim not in claims:
            return False
        claims.remove(claim)
        if not claims:
            del self.by_workspace[claim.workspace]
        return True


class FairQueue:
    """The waiting requests of one service at an instance.

    :param usual: what each workspace usually gets. What it asks for beyond that must
        not count, so that callers which repeat while room is short do not raise the
        share of their workspace
    """

    def __init__(self, usual: TokenRates) -> None:
        self._usual = usual
        self._lines: dict[Rank, _Line] = {}
        self._counters: dict[str, float] = defaultdict(float)
        self._floor = 0.0
        self._pace: float | None = None
        self._last_at: float | None = None
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Claim]:
        for line in self._lines.values():
            for claims in line.by_workspace.values():
                yield from claims

    def add(self, claim: Claim, now: float) -> Claim | None:
        """Let a request wait.

        :returns: a request that must be refused since it cannot get room in time, or
            since too many wait; ``None`` if there is none
        """
        if now + self.estimate_wait(claim) > claim.until:
            return claim
        line = self._lines.setdefault(claim.rank, _Line())
        if not self._is_waiting(claim.workspace):
            # A workspace that has not waited gains nothing from the time before.
            counter = max(self._counters[claim.workspace], self._floor)
            self._counters[claim.workspace] = counter
        line.by_workspace[claim.workspace].append(claim)
        self._size += 1
        if self._size <= MAX_WAITING:
            return None
        last = self._find_last()
        self.remove(last)
        return last

    def take(self, now: float) -> Claim | None:
        """Remove the request that goes next and return it, ``None`` if none waits."""
        if not self._lines:
            return None
        line = self._lines[min(self._lines)]
        workspace = min(line.by_workspace, key=lambda name: self._counters[name])
        claim = line.by_workspace[workspace][0]
        self.remove(claim)
        self._floor = max(self._floor, self._counters[workspace])
        weight = self._usual.weigh(workspace, now)
        self._counters[workspace] += max(1, claim.tokens) / weight
        self._note_pace(now)
        return claim

    def remove(self, claim: Claim) -> None:
        """Remove a request, as its caller has left or its time is over."""
        line = self._lines.get(claim.rank)
        if line is None or not line.remove(claim):
            return
        self._size -= 1
        if not line.by_workspace:
            del self._lines[claim.rank]
        if not self._size:
            self._last_at = None
            if len(self._counters) > MAX_WORKSPACES:
                self._counters.clear()

    def drop_hopeless(self, now: float) -> list[Claim]:
        """Remove and return the requests that can no longer get room in time.

        More urgent requests may have arrived since, so the last ones are checked again.
        """
        dropped = [claim for claim in self if claim.until <= now]
        for claim in dropped:
            self.remove(claim)
        while self._size > 1 and self._pace is not None:
            last = self._find_last()
            if now + (self._size - 1) * self._pace <= last.until:
                break
            self.remove(last)
            dropped.append(last)
        return dropped

    def estimate_wait(self, claim: Claim) -> float:
        """Return the seconds that a new request would wait, 0 if unknown."""
        if self._pace is None:
            return 0.0
        ahead = 0
        for rank, line in self._lines.items():
            counts = {name: len(claims) for name, claims in line.by_workspace.items()}
            if rank < claim.rank:
                ahead += sum(counts.values())
            elif rank == claim.rank:
                own = counts.get(claim.workspace, 0)
                ahead += sum(min(count, own + 1) for count in counts.values())
        return ahead * self._pace

    def estimate_drain(self) -> float:
        """Return the seconds until all that wait now have room, 0 if unknown."""
        return self._size * (self._pace or 0.0)

    def _is_waiting(self, workspace: str) -> bool:
        return any(workspace in line.by_workspace for line in self._lines.values())

    def _find_last(self) -> Claim:
        """Return the request that would go last."""
        line = self._lines[max(self._lines)]
        workspace = max(
            line.by_workspace,
            key=lambda name: (len(line.by_workspace[name]), self._counters[name]),
        )
        return line.by_workspace[workspace][-1]

    def _note_pace(self, now: float) -> None:
        """Record the time between two requests that got room while others waited."""
        if self._last_at is not None:
            seconds = now - self._last_at
            known = seconds if self._pace is None else self._pace
            self._pace = known + PACE_WEIGHT * (seconds - known)
        self._last_at = now if self._size else None
