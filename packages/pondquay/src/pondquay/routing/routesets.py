"""The sets of streaming routes that lead to services."""

from __future__ import annotations

from collections import defaultdict
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from pondquay.routes.entities import Route

DIGEST_BYTES = 8
# Number of earlier sets of a service that are remembered, to know their routes.
MAX_EARLIER_SETS = 8
# Precedes routes of other services below those of a service.
BELOW = "below "


class RouteSets:
    """The sets of resumable routes that lead to each service, by digest.

    A route is identified by its host and path prefix, which decide where a stream that
    is taken up is looked for. Requests of a route that ends go to the route with the
    next shorter prefix, so the set of a service also has the routes below its own.

    :ivar is_known: whether a configuration was applied
    """

    def __init__(self) -> None:
        self.is_known = False
        self._present: dict[str, str] = {}
        # The routes of each digest, the latest last.
        self._routes: defaultdict[str, dict[str, frozenset[str]]] = defaultdict(dict)

    @property
    def services(self) -> frozenset[str]:
        """The services that resumable routes lead to."""
        return frozenset(self._present)

    def apply(self, routes: Iterable[Route]) -> bool:
        """Apply the routes of a configuration; return whether any set has changed."""
        resumable = {
            identify_route(route): route
            for route in routes
            if route.streaming and route.resumable
        }
        by_service: defaultdict[str, set[str]] = defaultdict(set)
        for name, route in resumable.items():
            for service in _list_services(route):
                by_service[service].add(name)
            for above in _list_above(name):
                if above in resumable:
                    for service in _list_services(resumable[above]):
                        by_service[service].add(BELOW + name)
        before, self.is_known = self._present, True
        self._present = {
            service: self._note(service, frozenset(names))
            for service, names in by_service.items()
        }
        return self._present != before

    def list_present(self, service: str) -> Collection[str]:
        """Return the digest of the routes that lead to a service, if there are any."""
        digest = self._present.get(service)
        return () if digest is None else (digest,)

    def contain(self, service: str, route: str, digests: Collection[str]) -> bool:
        """Return whether a route is in one of some sets of a service.

        :param route: result of :func:`identify_route`
        """
        known = self._routes.get(service, {})
        return any(route in known.get(digest, ()) for digest in digests)

    def _note(self, service: str, names: frozenset[str]) -> str:
        digest = blake2b(digest_size=DIGEST_BYTES)
        for name in sorted(names):
            digest.update(len(name.encode()).to_bytes(8, "big"))
            digest.update(name.encode())
        key = digest.hexdigest()
        sets = self._routes[service]
        sets.pop(key, None)
        sets[key] = names
        while len(sets) > MAX_EARLIER_SETS:
            del sets[next(iter(sets))]
        return key


def identify_route(route: Route) -> str:
    """Return what identifies a route whatever its other fields are."""
    return f"{route.host.lower()}{route.path_prefix}"


def _list_services(route: Route) -> list[str]:
    return [weighted.service for weighted in route.services if weighted.weight > 0]


def _list_above(name: str) -> Iterator[str]:
    """Yield the identifiers of routes with a shorter prefix on the same host."""
    end = name.rfind("/")
    while (end := name.rfind("/", 0, end)) >= 0:
        yield name[: end + 1]
