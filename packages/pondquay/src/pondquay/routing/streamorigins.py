"""Where streams began, which tells where they can go on."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Mapping

KEY_BYTES = 8
# Maximum number of streams whose origins an instance keeps, the latest ones.
MAX_ORIGINS = 8192
# Peers of the own domain that are told of a stream, and of each of some other domains.
# Callers come back in their domain, or in another if theirs is lost.
NEAR_KEEPERS = 3
FAR_KEEPERS = 2
FAR_DOMAINS = 2


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service that began a stream.

    :param software: version of the software of the upstream that began it
    """

    service: str
    software: str


def digest_attempt(owner: str, attempt: str) -> bytes:
    """Return the key of a stream, which differs between workspaces.

    :param owner: workspace of the caller, empty if its route requires no key
    :param attempt: the caller's identifier of the attempt that brought the first event
    :returns: ``KEY_BYTES`` bytes
    """
    digest = blake2b(digest_size=KEY_BYTES)
    # The length keeps the boundary between the parts unambiguous.
    digest.update(len(owner.encode()).to_bytes(8, "big"))
    digest.update(owner.encode() + attempt.encode())
    return digest.digest()


class OriginTable:
    """The origins of the latest streams of which an instance knows.

    :param max_entries: number of streams above which the oldest one is dropped
    """

    def __init__(self, max_entries: int = MAX_ORIGINS) -> None:
        self._max_entries = max_entries
        # A plain dictionary scans over what was deleted to find its oldest entry.
        self._origins: OrderedDict[bytes, StreamOrigin] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def note(self, key: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began.

        :param key: result of :func:`digest_attempt`
        """
        self._origins[key] = origin
        self._origins.move_to_end(key)
        if len(self._origins) > self._max_entries:
            self._origins.popitem(last=False)

    def find(self, key: bytes) -> StreamOrigin | None:
        """Return where a stream began, ``None`` if unknown."""
        return self._origins.get(key)


def choose_keepers(key: bytes, peers: Mapping[str, str], domain: str) -> list[str]:
    """Return the peers that are told where a stream began.

    :param peers: the domain of each peer, by name
    :param domain: failure domain of this instance
    """
    ranked = sorted(peers, key=lambda peer: score_pair(key.hex(), peer))
    by_domain: defaultdict[str, list[str]] = defaultdict(list)
    for peer in ranked:
        by_domain[peers[peer]].append(peer)
    keepers = by_domain.pop(domain, [])[:NEAR_KEEPERS]
    for far in list(by_domain.values())[:FAR_DOMAINS]:
        keepers += far[:FAR_KEEPERS]
    return keepers
