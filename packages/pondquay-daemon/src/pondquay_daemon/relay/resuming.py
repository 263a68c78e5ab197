"""Decides where a stream that a caller takes up again can go on."""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from pondquay.routing.routesets import identify_route
from pondquay.routing.streamorigins import StreamOrigin
from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.admission import RETRY_SOON_SECONDS, UNAVAILABLE, Refusal

if TYPE_CHECKING:
    from pondquay.routing.directory import UpstreamDirectory
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.originrows import OriginRows
    from pondquay_daemon.relay.softwarerecorder import SoftwareRecorder
    from pondquay_daemon.relay.streamlinks import StreamLinks

# Time for the store to show what outlasts a loss of all instances.
STORE_SECONDS = 1.0


class OriginResult(StrEnum):
    """What is known of a stream's origin; also a label of a metric.

    ``assumed`` means that no instance knows it and only one version can have begun the
    stream, ``gone`` that its service or version serves no more.
    """

    KNOWN = "known"
    ASSUMED = "assumed"
    UNKNOWN = "unknown"
    GONE = "gone"


class StreamResumer:
    """Chooses the service and the software version at which a stream goes on.

    A stream that cannot go on is refused at once. If no instance knows its origin, as
    after a loss of all, it goes on only if the store shows its origin, or that a single
    version can have begun it.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        links: StreamLinks,
        software: SoftwareRecorder,
        rows: OriginRows,
        metrics: RelayMetrics,
    ) -> None:
        self._directory = directory
        self._links = links
        self._software = software
        self._rows = rows
        self._metrics = metrics

    async def resume(self, admission: Admission) -> Admission | Refusal:
        """Return the admission to the service and version, or a refusal."""
        origin = None
        if admission.metadata.first_attempt:
            origin = await self._links.find(admission.stream, admission.seconds)
        if origin is not None:
            return self._resume_known(admission, origin)
        # Both read the store at the same time.
        row = Deferred.fromCoroutine(self._find_row(admission))
        single = await self._find_single(admission)
        if single is not None:
            return self._resume_at(admission, OriginResult.ASSUMED, single)
        origin = await row
        if origin is not None:
            return self._resume_known(admission, origin)
        reason = "the version that began the stream is unknown"
        return self._refuse(admission, OriginResult.UNKNOWN, reason, RETRY_SOON_SECONDS)

    def _resume_known(
        self, admission: Admission, origin: StreamOrigin
    ) -> Admission | Refusal:
        if not self._leads_to(admission, origin):
            reason = "the service that began the stream has no part of the route"
            return self._refuse(admission, OriginResult.GONE, reason, None)
        return self._resume_at(admission, OriginResult.KNOWN, origin)

    @staticmethod
    def _leads_to(admission: Admission, origin: StreamOrigin) -> bool:
        """Return whether the route leads to the service that began the stream."""
        return any(
            weighted.service == origin.service and weighted.weight > 0
            for weighted in admission.route.services
        )

    async def _find_row(self, admission: Admission) -> StreamOrigin | None:
        """Return the origin that a row of the store shows, if any."""
        if not admission.metadata.first_attempt:
            return None
        seconds = min(admission.seconds, STORE_SECONDS)
        return await self._rows.find(admission.stream, seconds)

    async def _find_single(self, admission: Admission) -> StreamOrigin | None:
        """Return the only origin that a stream on the route can have, if any."""
        services = [
            weighted.service
            for weighted in admission.route.services
            if weighted.weight > 0
        ]
        if len(services) != 1 or not admission.route.resumable:
            return None
        route = identify_route(admission.route)
        seconds = min(admission.seconds, STORE_SECONDS)
        software = await self._software.find_single(services[0], route, seconds)
        return None if software is None else StreamOrigin(services[0], software)

    def _resume_at(
        self, admission: Admission, result: OriginResult, origin: StreamOrigin
    ) -> Admission | Refusal:
        """Resume a stream at its origin, if upstreams of its version are left."""
        if not self._directory.candidates(origin.service, (origin.software,)):
            reason = "no upstream with the version that began the stream"
            return self._refuse(admission, OriginResult.GONE, reason, None)
        self._report(admission, result, origin.software)
        return replace(admission, service=origin.service, software=origin.software)

    def _refuse(
        self,
        admission: Admission,
        result: OriginResult,
        reason: str,
        retry_after: float | None,
    ) -> Refusal:
        self._report(admission, result, "")
        return Refusal(UNAVAILABLE, reason, retry_after)

    def _report(
        self, admission: Admission, result: OriginResult, software: str
    ) -> None:
        self._metrics.streams_taken_up.labels(result.value).inc()
        metadata = admission.metadata
        log_event(
            "stream-taken-up",
            request=metadata.attempt,
            first_attempt=metadata.first_attempt,
            after=metadata.last_event,
            origin=result.value,
            software=software,
        )
