"""Makes calls to plain services until there is a response or no retry is allowed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.names import name_stream
from pondquay.routing.admission import PRIORITY_ORDER
from pondquay.routing.policies import RequestProfile
from pondquay.routing.upstreams import SERVICE
from pondquay_daemon.calls import CachedResponse, Refusal
from pondquay_daemon.errors import MayHaveRunError, NotSentError
from pondquay_daemon.progress import refuse_unfinished
from pondquay_daemon.upstreams import UpstreamRequirements

if TYPE_CHECKING:
    from pondquay_daemon.calls import PlainCall
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.metrics import Metrics
    from pondquay_daemon.progress import Progress, StartedAttempt
    from pondquay_daemon.requestattempts import Attempts
    from pondquay_daemon.requestindex import RequestIndex
    from pondquay_daemon.services import ServiceResponse, Services


class ServiceRunner:
    """Makes calls to plain services; unrepeatable calls must be claimed first."""

    def __init__(
        self,
        attempts: Attempts,
        grants: GrantTask,
        services: Services,
        index: RequestIndex,
        metrics: Metrics,
    ) -> None:
        self._attempts = attempts
        self._grants = grants
        self._services = services
        self._index = index
        self._metrics = metrics

    async def run(
        self, progress: Progress, call: PlainCall
    ) -> CachedResponse | Refusal:
        """Make a call, with retries at other upstreams if possible."""
        while True:
            requirements = UpstreamRequirements(
                call.request,
                SERVICE,
                call.service,
                call.workspace.partner,
                RequestProfile(call.price, rank=PRIORITY_ORDER.index(call.priority)),
                frozenset(progress.failed),
            )
            started = await self._attempts.start(progress, requirements)
            if isinstance(started, Refusal):
                return started
            try:
                response = await self._call_once(progress, call, started)
            finally:
                self._attempts.release(started)
            if response is not None:
                return await self._finish_call(progress, call, started, response)
            if not self._attempts.may_try_again(progress):
                return refuse_unfinished(progress)
            self._metrics.retries.inc()

    async def _call_once(
        self, progress: Progress, call: PlainCall, started: StartedAttempt
    ) -> ServiceResponse | None:
        upstream = started.placement.upstream
        progress.lifecycle.dispatch()
        name = name_stream(call.request, started.attempt.id)
        try:
            response = await self._services.call(upstream.url, name, call.call)
        except NotSentError as error:
            await self._attempts.give_up_unstarted(progress, started, error)
            return None
        except MayHaveRunError as error:
            self._attempts.log_failure(call, started, error)
            self._attempts.avoid(progress, started)
            progress.lifecycle.mark_unknown()
            return None
        upstream.circuit.succeed()
        progress.lifecycle.finish()
        return response

    async def _finish_call(
        self,
        progress: Progress,
        call: PlainCall,
        started: StartedAttempt,
        response: ServiceResponse,
    ) -> CachedResponse:
        await self._grants.settle(started.attempt, call.price)
        cached = CachedResponse(
            call.content_digest,
            call.price,
            status=response.status,
            body=response.body,
            headers=dict(response.headers),
        )
        self._index.cache(call, cached)
        self._metrics.billed_tokens.labels(call.request.workspace).inc(call.price)
        return cached
