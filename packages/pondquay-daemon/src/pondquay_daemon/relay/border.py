"""The border: a plug-in for the names, formats and store of a platform."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from twisted.internet.interfaces import IReactorTime

    from pondquay.routes.entities import RoutingConfiguration
    from pondquay.routing.upstreamrecords import UpstreamRecord
    from pondquay_daemon.relay.messages import (
        Dispatch,
        HeaderList,
        RequestHead,
        RequestMetadata,
        ResponseHead,
        ResponseMetadata,
    )
    from pondquay_daemon.relay.settings import RelaySettings
    from pondquay_daemon.relay.store import Store


@dataclass(frozen=True, slots=True)
class StoreNames:
    """Names in the store.

    :param configuration: table and key of the operators' configuration
    :param upstreams: table that lists the upstreams
    """

    configuration: tuple[str, str]
    upstreams: str


class Border(ABC):
    """Translates between a platform's formats and the relay's types.

    :cvar store_names: where the configuration and the upstreams are stored
    :cvar ready_path: path of readiness probes
    """

    store_names: StoreNames
    ready_path: bytes

    @abstractmethod
    def read_settings(self) -> RelaySettings:
        """Read this process's settings.

        :raises InvalidInputError: if they are invalid; lists every error
        """

    @abstractmethod
    def open_store(
        self,
        settings: RelaySettings,
        clock: IReactorTime,
        partitioned: frozenset[str] = frozenset(),
    ) -> Store:
        """Return a client of the platform's store.

        :param partitioned: tables in which each row is its own partition
        """

    @abstractmethod
    def read_configuration(self, value: Mapping[str, Any]) -> RoutingConfiguration:
        """Parse the operators' configuration.

        :raises MalformedValueError: if it is malformed
        """

    @abstractmethod
    def find_evacuated_domain(self, key: str) -> str | None:
        """Return the domain that a row of the configuration's table evacuates.

        :param key: key of the row
        :returns: ``None`` if the row is not an evacuation
        """

    @abstractmethod
    def read_upstream(self, name: str, value: Mapping[str, Any]) -> UpstreamRecord:
        """Parse an upstream's row.

        :raises MalformedValueError: if it is malformed
        """

    @abstractmethod
    def read_request(self, head: RequestHead) -> RequestMetadata:
        """Parse the headers of a caller's request.

        :raises MalformedValueError: if a header is malformed
        """

    @abstractmethod
    def name_request(self, head: RequestHead) -> str:
        """Return the caller's identifier of its request, empty if there is none."""

    @abstractmethod
    def write_request(self, headers: HeaderList, dispatch: Dispatch) -> HeaderList:
        """Return the caller's headers together with those for the upstream."""

    @abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Parse the headers of an upstream's response."""

    @abstractmethod
    def write_refusal(self, attempt: str, retry_after: float | None) -> HeaderList:
        """Return the headers of a response that the relay sends itself.

        :param attempt: the caller's identifier of its attempt, empty if unknown
        :param retry_after: seconds after which the caller should retry
        """


BORDERS: Registry[Border] = Registry("border")
