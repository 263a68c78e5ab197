"""Lookup of routes, keys and services in a version of the configuration."""

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
    """An immutable index of a version of the configuration."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            by_prefix = self._routes.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route
        self._services = {service.name: service for service in configuration.services}
        self._workspaces = {
            workspace.name: workspace for workspace in configuration.workspaces
        }
        self._keys = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.configuration.version

    @property
    def needs_keys(self) -> bool:
        """Whether callers authenticate with keys."""
        return bool(self.configuration.workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose path prefix is the longest one that matches.

        Only prefixes that end with a slash match.

        :param host: the host as the caller sent it; port and case are ignored
        :param path: the path without the query
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
        """Return the workspace that a key belongs to, or ``None``."""
        return self._keys.get(key)

    def workspace(self, name: str) -> RoutedWorkspace | None:
        """Return the workspace with this name, or ``None``."""
        return self._workspaces.get(name)

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or ``None``."""
        return self._services.get(name)


def choose_service(route: Route, random: Random) -> str:
    """Choose the service for a request at random, by the weights of the route."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [service.weight for service in route.services]
    return random.choices(route.services, weights)[0].service
