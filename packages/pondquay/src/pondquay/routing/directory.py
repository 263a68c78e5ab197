"""The upstreams that an instance has heard of, from a list that lags and forgets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pondquay.routing.circuits import Circuit
from pondquay.routing.pauses import PauseRecord
from pondquay.routing.promptload import PromptLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Seconds for which an upstream whose row has vanished is still tried where no other is
# left. It bridges a renewal that came late. One that left must get nothing new 2 s
# after its row went, and up to 0.3 s of these pass until that is heard.
VANISHED_SECONDS = 1.5
# Seconds after the list can be followed again in which rows that lapsed for the store's
# sake come back: the platform says about two.
RETURN_SECONDS = 2.0
# An interruption shorter than this, in seconds, makes no row lapse: a row lives for
# several renewals, which come about once a second.
LAPSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """What an upstream says of itself in the list.

    :param address: ``host:port``
    :param slots: requests that it runs at the same time
    :param leaving: whether it will end soon
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool = False


@dataclass(slots=True)
class KnownUpstream:
    """An upstream and what this instance has seen of it.

    :param version: of the list's row that the record is from
    :param vanished: when its row was gone, in seconds
    :param expires: when it is taken to have left since its row is gone, in seconds;
        ``None`` while its row may have lapsed for the store's sake
    :param running: requests of this instance that are there now
    :param prompts: what waits to be read there and what has been
    :param pauses: how long its streams pause while it reads prompts
    :param heard: when anything last came from it, in seconds
    """

    record: UpstreamRecord
    version: int
    leaving: bool = False
    vanished: float | None = None
    expires: float | None = None
    running: int = 0
    prompts: PromptLoad = field(default_factory=PromptLoad)
    pauses: PauseRecord = field(default_factory=PauseRecord)
    heard: float = 0.0
    circuit: Circuit = field(default_factory=Circuit)

    @property
    def name(self) -> str:
        """The name of this life of the upstream."""
        return self.record.name


class UpstreamDirectory:
    """Upstreams by service; the first sign that one leaves is final.

    Each start of an upstream has a name of its own, so a name that has left never
    comes back. A row that goes while the list is followed is such a sign as well, and
    no later trouble of the store takes it back; only a newer row does.

    :param clock: tells the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._known: dict[str, KnownUpstream] = {}
        self._gone: dict[str, int] = {}
        self._followed = False
        self._followed_since = 0.0
        self._lost_at: float | None = None

    def __len__(self) -> int:
        return len(self._known)

    def all(self) -> list[KnownUpstream]:
        """Return all that are known."""
        return list(self._known.values())

    def count_present(self) -> int:
        """Return how many are listed and not leaving."""
        return sum(
            not one.leaving and one.vanished is None for one in self._known.values()
        )

    def find(self, name: str) -> KnownUpstream | None:
        """Return an upstream by its name."""
        return self._known.get(name)

    def put(self, record: UpstreamRecord, version: int) -> KnownUpstream | None:
        """Take in a row of the list, ``None`` if it says nothing new."""
        if self._gone.get(record.name, 0) >= version:
            return None
        known = self._known.get(record.name)
        if known is None:
            known = KnownUpstream(record, version, leaving=record.leaving)
            self._known[record.name] = known
            return known
        if known.version >= version and known.vanished is None:
            return None
        known.record = record
        known.version = version
        known.vanished = None
        known.expires = None
        known.leaving = known.leaving or record.leaving
        return known

    def remove(self, name: str, version: int) -> KnownUpstream | None:
        """Take in that a row is gone, ``None`` if that is not new."""
        self._gone[name] = max(version, self._gone.get(name, 0))
        known = self._known.get(name)
        if known is None or known.version > version:
            return None
        if known.vanished is not None:
            return None
        known.vanished = self._clock()
        known.expires = self._plan_expiry(known.vanished)
        return known

    def note_followed(self) -> None:
        """Learn that the list is being followed, also after an interruption."""
        if self._followed:
            return
        now = self._clock()
        if self._lost_at is None or now - self._lost_at >= LAPSE_SECONDS:
            self._followed_since = now
        self._followed = True
        for known in self._known.values():
            if known.vanished is not None and known.expires is None:
                known.expires = self._plan_expiry(now)

    def note_lost(self) -> None:
        """Learn that the list cannot be followed.

        What lapsed shortly before may still be there: it had no time to come back.
        """
        if not self._followed:
            return
        self._followed = False
        self._lost_at = self._clock()
        returned_by = self._followed_since + RETURN_SECONDS
        for known in self._known.values():
            if known.vanished is None or known.expires is None:
                continue
            if known.vanished < returned_by and known.expires > self._lost_at:
                known.expires = None

    def _plan_expiry(self, vanished: float) -> float | None:
        """Return when an upstream whose row is gone since some time has surely left."""
        if not self._followed:
            return None
        returned_by = self._followed_since + RETURN_SECONDS
        return max(vanished + VANISHED_SECONDS, returned_by)

    def replace(
        self, records: Mapping[str, tuple[UpstreamRecord, int]], at: int
    ) -> list[KnownUpstream]:
        """Take in the whole list as it was at some version.

        A list that is older than what is known removes nothing newer.

        :returns: those of which it says something new
        """
        changed = [self.put(record, version) for record, version in records.values()]
        for name, known in list(self._known.items()):
            if name not in records and known.version <= at:
                changed.append(self.remove(name, at))
        return [one for one in changed if one is not None]

    def forget_instance(self, instance: str) -> None:
        """Forget what another instance has waiting, since it cannot be heard."""
        for known in self._known.values():
            known.prompts.hear(instance, 0)

    def note_leaving(self, name: str) -> bool:
        """Note an upstream's own sign that it leaves; tell whether that is new."""
        known = self._known.get(name)
        if known is None or known.leaving:
            return False
        known.leaving = True
        return True

    def candidates(self, service: str) -> list[KnownUpstream]:
        """Return those that may get new work.

        Rows vanish when an upstream leaves without a word, but also when the list's
        store is in trouble. Vanished ones are tried only where nothing else is left,
        and until they are taken to have left.
        """
        of_service = [
            one
            for one in self._known.values()
            if one.record.service == service and not one.leaving
        ]
        present = [one for one in of_service if one.vanished is None]
        if present:
            return present
        now = self._clock()
        return [one for one in of_service if one.expires is None or now < one.expires]
