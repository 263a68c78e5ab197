"""Intake of callers' requests: each is refused, resumed or begun."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay.routes.entities import CallerLimits
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.admission import (
    RETRY_SOON_SECONDS,
    UNAVAILABLE,
    Refusal,
    admit_request,
    send_refusal,
)
from pondquay_daemon.relay.handlers import RequestHandler
from pondquay_daemon.relay.requests import RequestRun
from pondquay_daemon.tasks import spawn

if TYPE_CHECKING:
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.feeds import TableFeed
    from pondquay_daemon.relay.handlers import CallerResponse
    from pondquay_daemon.relay.knowledge import ConfigurationView
    from pondquay_daemon.relay.messages import RequestHead
    from pondquay_daemon.relay.overloadrefusals import OverloadRefusals
    from pondquay_daemon.relay.resuming import StreamResumer

# A configuration is fresh if it was confirmed within this fraction of the time in which
# a new one must take effect. Only a fresh one proves that a route or key does not
# exist.
FRESH_CONFIGURATION_FRACTION = 0.8
# Delay after which a caller that a stopping instance refuses should retry elsewhere.
STOPPING_RETRY_SECONDS = 0.1
STOPPING = Refusal(UNAVAILABLE, "stopping", STOPPING_RETRY_SECONDS)


@dataclass(frozen=True, slots=True, eq=False)
class ReceivedRequest:
    """A complete request, and the response to it."""

    head: RequestHead
    body: bytes
    response: CallerResponse


class RequestIntake(RequestHandler):
    """Begins to serve the requests that callers have sent.

    :param feed: follows the table of the configuration
    :param configuration_bound: seconds in which a new configuration must take effect
    :ivar refusing: whether all requests are refused, as the process ends soon
    """

    def __init__(
        self,
        components: RelayComponents,
        configuration: ConfigurationView,
        feed: TableFeed,
        configuration_bound: float,
        overload_refusals: OverloadRefusals,
        resumer: StreamResumer,
    ) -> None:
        self._components = components
        self._configuration = configuration
        self._feed = feed
        self._configuration_bound = configuration_bound
        self._overload_refusals = overload_refusals
        self._resumer = resumer
        self._resuming: dict[ReceivedRequest, Admission] = {}
        # In the order of their beginning.
        self._runs: dict[RequestRun, None] = {}
        self.refusing = False

    def limits(self) -> CallerLimits:
        """Return the current limits of requests."""
        table = self._configuration.table
        return CallerLimits() if table is None else table.configuration.limits

    def find_time_limit(self, head: RequestHead) -> float | None:
        """Return the time that the request's route and its caller allow."""
        admitted = self._admit(head)
        return None if isinstance(admitted, Refusal) else admitted.seconds

    def refuse_body(self, head: RequestHead, response: CallerResponse) -> None:
        """Refuse a request, since there is no room for its body."""
        refusal = Refusal(UNAVAILABLE, "no room for the body", RETRY_SOON_SECONDS)
        attempt = self._components.border.name_request(head)
        self._refuse(ReceivedRequest(head, b"", response), refusal, attempt)

    def handle(self, head: RequestHead, body: bytes, response: CallerResponse) -> None:
        """Begin to serve a request."""
        components = self._components
        if self.refusing:
            # The request might not end before the process does.
            send_refusal(components.border, response, "", STOPPING)
            return
        request = ReceivedRequest(head, body, response)
        admitted = self._admit(head)
        if isinstance(admitted, Refusal):
            self._refuse(request, admitted, "")
            return
        remaining = response.arrived_at + admitted.seconds - components.clock.seconds()
        overloaded = self._overload_refusals.check(admitted, remaining)
        if overloaded is not None:
            self._refuse(request, overloaded, admitted.metadata.attempt)
            return
        if admitted.takes_up_stream:
            spawn(self._resume(request, admitted), "StreamResumer")
        else:
            self._run(request, admitted)

    def refuse_open(self) -> None:
        """Refuse all requests whose responses have not begun."""
        for request, admitted in list(self._resuming.items()):
            if request.response.open:
                self._refuse(request, STOPPING, admitted.metadata.attempt)
        runs = list(self._runs)
        # The end of one run may give its room to another, which must not be sent then.
        for run in runs:
            run.withdraw(STOPPING)
        for run in runs:
            run.refuse_unbegun(STOPPING)

    def _admit(self, head: RequestHead) -> Admission | Refusal:
        return admit_request(
            head,
            self._configuration.table,
            self._components.border,
            self._components.random,
            is_fresh=self._is_configuration_fresh(),
        )

    async def _resume(self, request: ReceivedRequest, admitted: Admission) -> None:
        """Serve a request that takes a stream up, where the stream can go on."""
        self._resuming[request] = admitted
        try:
            resumed = await self._resumer.resume(admitted)
        finally:
            del self._resuming[request]
        if not request.response.open:
            return
        if isinstance(resumed, Refusal):
            self._refuse(request, resumed, admitted.metadata.attempt)
        else:
            self._run(request, resumed)

    def _run(self, request: ReceivedRequest, admitted: Admission) -> None:
        run = RequestRun(
            self._components,
            admitted,
            self._configuration.find_service(admitted.service),
            request.head,
            request.body,
            request.response,
        )
        self._runs[run] = None
        ended = spawn(run.run(), "RequestRun")
        ended.addCallback(lambda _: self._runs.pop(run))

    def _refuse(self, request: ReceivedRequest, refusal: Refusal, attempt: str) -> None:
        border = self._components.border
        log_event(
            "request-refused",
            Level.WARNING,
            request=border.name_request(request.head),
            status=refusal.status,
            reason=refusal.reason,
            version=self._configuration.version,
            age=self._feed.age(),
        )
        self._components.metrics.requests.labels(str(refusal.status)).inc()
        send_refusal(border, request.response, attempt, refusal)

    def _is_configuration_fresh(self) -> bool:
        age = self._feed.age()
        return age is not None and (
            age < FRESH_CONFIGURATION_FRACTION * self._configuration_bound
        )
