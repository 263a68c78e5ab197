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
# left: rows also vanish when the list's store is in trouble.
VANISHED_SECONDS = 1.5


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
    :param running: requests of this instance that are there now
    :param prompts: what waits to be read there and what has been
    :param pauses: how long its streams pause while it reads prompts
    :param heard: when anything last came from it, in seconds
    """

    record: UpstreamRecord
    version: int
    leaving: bool = False
    vanished: float | None = None
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
    comes back.

    :param clock: tells the time in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._known: dict[str, KnownUpstream] = {}
        self._gone: dict[str, int] = {}
        self.version = 0

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
        return known

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

    def candidates(self, service: str, *, current: bool = True) -> list[KnownUpstream]:
        """Return those that may get new work.

        Rows vanish when an upstream leaves without a word, but also when the list's
        store is in trouble. Vanished ones are tried only where nothing else is left,
        and no longer than for a moment if the list is current.
        """
        of_service = [
            one
            for one in self._known.values()
            if one.record.service == service and not one.leaving
        ]
        present = [one for one in of_service if one.vanished is None]
        if present or not current:
            return present or of_service
        since = self._clock() - VANISHED_SECONDS
        return [one for one in of_service if (one.vanished or 0.0) > since]
