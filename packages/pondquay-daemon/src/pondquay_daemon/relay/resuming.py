"""Decides where a stream that a caller takes up again can go on."""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.admission import RETRY_SOON_SECONDS, UNAVAILABLE, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from pondquay.routing.directory import UpstreamDirectory
    from pondquay.routing.streamorigins import StreamOrigin
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.streamlinks import StreamLinks

# Age of the list of upstreams up to which it shows versions that have just started.
MAX_LIST_AGE_SECONDS = 3.0


class OriginResult(StrEnum):
    """What is known of a stream's origin; also a label of a metric.

    ``assumed`` means that it is unknown and can only be the single version that serves,
    ``gone`` that its service or version serves no more.
    """

    KNOWN = "known"
    ASSUMED = "assumed"
    UNKNOWN = "unknown"
    GONE = "gone"


class StreamResumer:
    """Chooses the service and the software version at which a stream goes on.

    A stream that cannot go on is refused at once. If no instance knows its origin, as
    after a loss of all, the only version that has served lately is taken for it, unless
    this instance may have missed another.

    :param list_age: returns the seconds since the list of upstreams was confirmed,
        ``None`` if it never was
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        links: StreamLinks,
        list_age: Callable[[], float | None],
        metrics: RelayMetrics,
    ) -> None:
        self._directory = directory
        self._links = links
        self._list_age = list_age
        self._metrics = metrics

    async def resume(self, admission: Admission) -> Admission | Refusal:
        """Return the admission to the service and version, or a refusal."""
        origin = None
        if admission.metadata.first_attempt:
            origin = await self._links.find(admission.stream, admission.seconds)
        if origin is None:
            return self._assume_version(admission)
        if not self._leads_to(admission, origin):
            reason = "the service that began the stream has no part of the route"
            return self._refuse(admission, OriginResult.GONE, reason, None)
        if not self._directory.candidates(origin.service, origin.software):
            reason = "no upstream with the version that began the stream"
            return self._refuse(admission, OriginResult.GONE, reason, None)
        return self._admit(
            admission, OriginResult.KNOWN, origin.service, origin.software
        )

    @staticmethod
    def _leads_to(admission: Admission, origin: StreamOrigin) -> bool:
        """Return whether the route leads to the service that began the stream."""
        return any(
            weighted.service == origin.service and weighted.weight > 0
            for weighted in admission.route.services
        )

    def _is_informed(self) -> bool:
        """Return whether this instance would know of a version that just started."""
        age = self._list_age()
        is_fresh = age is not None and age <= MAX_LIST_AGE_SECONDS
        return is_fresh or self._links.has_far_peer

    def _assume_version(self, admission: Admission) -> Admission | Refusal:
        versions = self._directory.list_software(admission.service)
        if len(versions) > 1 or not self._is_informed():
            reason = "the version that began the stream is unknown"
            return self._refuse(
                admission, OriginResult.UNKNOWN, reason, RETRY_SOON_SECONDS
            )
        software = versions[0] if versions else None
        return self._admit(admission, OriginResult.ASSUMED, admission.service, software)

    def _admit(
        self,
        admission: Admission,
        result: OriginResult,
        service: str,
        software: str | None,
    ) -> Admission:
        self._report(admission, result, software or "")
        return replace(admission, service=service, software=software)

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
