"""The border: what a platform's names, formats and calls are, as a plug-in."""

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
    """Where things lie in the store.

    :param configuration: table and key of the operators' configuration
    :param upstreams: table of the upstreams
    """

    configuration: tuple[str, str]
    upstreams: str


class Border(ABC):
    """Translates between a platform and the relay; it decides nothing."""

    store_names: StoreNames
    ready_path: bytes

    @abstractmethod
    def read_settings(self) -> RelaySettings:
        """Read this process's settings.

        :raises InvalidInputError: with everything that is wrong in them
        """

    @abstractmethod
    def open_store(
        self,
        settings: RelaySettings,
        clock: IReactorTime,
        partitioned: frozenset[str] = frozenset(),
    ) -> Store:
        """Return a client of the platform's store.

        :param partitioned: names of the tables whose rows are partitions by themselves
        """

    @abstractmethod
    def read_configuration(self, value: Mapping[str, Any]) -> RoutingConfiguration:
        """Read the operators' configuration.

        :raises MalformedValueError: if it has another form
        """

    @abstractmethod
    def find_evacuated_domain(self, key: str) -> str | None:
        """Return the domain that a row of the configuration's table asks to empty.

        :returns: ``None`` for rows of another kind
        """

    @abstractmethod
    def read_upstream(self, name: str, value: Mapping[str, Any]) -> UpstreamRecord:
        """Read an upstream's row.

        :raises MalformedValueError: if it has another form
        """

    @abstractmethod
    def read_request(self, head: RequestHead) -> RequestMetadata:
        """Read what a caller says of its request.

        :raises MalformedValueError: if a header has another form
        """

    @abstractmethod
    def name_request(self, head: RequestHead) -> str:
        """Return the caller's name for its request, empty if it gives none."""

    @abstractmethod
    def write_request(self, headers: HeaderList, dispatch: Dispatch) -> HeaderList:
        """Return the caller's headers with what the upstream has to be told."""

    @abstractmethod
    def read_response(self, head: ResponseHead) -> ResponseMetadata:
        """Read what an upstream says of its answer."""

    @abstractmethod
    def write_refusal(self, attempt: str, retry_after: float | None) -> HeaderList:
        """Return the headers of an answer that the relay gives by itself."""


BORDERS: Registry[Border] = Registry("border")
