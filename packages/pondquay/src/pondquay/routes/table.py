"""The look-up of routes, keys and services in one version of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from pondquay.routes.entities import (
        Route,
        RoutedWorkspace,
        RoutingConfiguration,
        Service,
    )


class RouteTable:
    """An index of one configuration; it is never changed, only replaced."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route
        self._services = {one.name: one for one in configuration.services}
        self._workspaces = {one.name: one for one in configuration.workspaces}
        self._keys = {key: one for one in configuration.workspaces for key in one.keys}

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    @property
    def needs_keys(self) -> bool:
        """Whether requests carry keys."""
        return bool(self.configuration.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: as the caller named it, a port and the case do not matter
        :param path: without the query
        """
        by_prefix = self._routes.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def find_workspace(self, key: str) -> RoutedWorkspace | None:
        """Return the holder of a key."""
        return self._keys.get(key)

    def workspace(self, name: str) -> RoutedWorkspace | None:
        """Return a workspace by its name."""
        return self._workspaces.get(name)

    def service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)


def choose_service(route: Route, random: Random) -> str:
    """Return the service of a request, by the weights of the route's split."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [one.weight for one in route.services]
    return random.choices(route.services, weights)[0].service
