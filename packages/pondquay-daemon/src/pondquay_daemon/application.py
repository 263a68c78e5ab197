"""One entry instance: its tasks, their dependencies, and its planned stop."""

from __future__ import annotations

from contextlib import ExitStack
from secrets import token_hex
from typing import TYPE_CHECKING, Any

from pondquay.addresses import Address
from pondquay.configuration.entities import Budget
from pondquay.membership.messages import FoundRequest, Heartbeat
from pondquay.names import InstanceId
from pondquay_daemon.components import InstanceComponents
from pondquay_daemon.configuration import ConfigurationTask
from pondquay_daemon.endpoints.callers import CallerEndpoint
from pondquay_daemon.endpoints.metrics import MetricsEndpoint
from pondquay_daemon.endpoints.operators import OperatorEndpoint
from pondquay_daemon.endpoints.sites import OpenChannels, listen_http
from pondquay_daemon.engines import Engines
from pondquay_daemon.grants import GrantTask
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.metrics import Metrics
from pondquay_daemon.peers import PeerListener, PeerTask
from pondquay_daemon.platform import Platform
from pondquay_daemon.recovery import Recovery
from pondquay_daemon.requestclaims import ClaimTask
from pondquay_daemon.runner import Runner
from pondquay_daemon.services import Services
from pondquay_daemon.tasks import sleep
from pondquay_daemon.upstreams import Upstreams

if TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort

    from pondquay.budgets.messages import HolderMessage, Recall
    from pondquay.membership.messages import Deltas, FindRequest
    from pondquay_daemon.settings import Settings

BOOT_BYTES = 6
STOP_CHECK_INTERVAL_SECONDS = 0.05
RETURN_TIMEOUT_SECONDS = 30.0
ENTRY_ROLE = "entry"


class Application(PeerListener):
    """Creates, starts and stops all tasks of one instance."""

    def __init__(self, reactor: Any, settings: Settings) -> None:
        self.reactor = reactor
        self.settings = settings
        self.instance = InstanceId(settings.instance.name, token_hex(BOOT_BYTES))
        self.domain = settings.instance.domain
        self.metrics = Metrics()
        self.platform = Platform(
            reactor, settings.platform.url, self.domain, settings.platform.timeout
        )
        self.peers = PeerTask(
            reactor, self.instance, self.domain, settings.read_fleet_key()
        )
        self.configuration = ConfigurationTask(reactor, self.platform, self.peers)
        self.engines = Engines(reactor)
        self.upstreams = Upstreams(
            reactor,
            self.platform,
            self.engines,
            self.configuration,
            self.domain,
            settings.policies.routing,
        )
        self.grants = GrantTask(
            reactor,
            self.instance,
            self.platform,
            self.peers,
            settings.policies.grants,
        )
        self.recovery = Recovery(
            reactor,
            self.instance,
            self.platform,
            self.peers,
            self.grants,
            self.upstreams,
            self.engines,
        )
        self.claims = ClaimTask(
            reactor, str(self.instance), self.platform, self.metrics.next_number
        )
        self.runner = Runner(
            reactor,
            self.claims,
            self.grants,
            self.upstreams,
            self.engines,
            Services(reactor),
            self.recovery,
            self.configuration,
            self.metrics,
        )
        self.components = InstanceComponents(
            settings,
            self.instance,
            self.domain,
            self.metrics,
            self.platform,
            self.peers,
            self.configuration,
            self.upstreams,
            self.grants,
            self.runner,
        )
        self._tasks = ExitStack()
        self._ports: list[IListeningPort] = []
        self._channels = OpenChannels()

    async def start(self) -> None:
        """Start all tasks and open the endpoints."""
        listen = self.settings.listen
        for task in (
            self.peers,
            self.configuration,
            self.upstreams,
            self.grants,
            self.recovery,
            self.claims,
            self.runner,
        ):
            self._tasks.enter_context(task)
        await self.peers.start(Address.parse(listen.peers), self)
        self.configuration.start()
        self.upstreams.start()
        self.grants.start(self._list_budgets)
        self.recovery.start()
        self.claims.start()
        self.peers.repeat(1.0, self._update_peer_links)
        max_body_bytes = self.settings.limits.body_bytes
        callers = CallerEndpoint(
            self.reactor,
            self.settings.limits,
            self.configuration,
            self.runner,
            self.metrics,
        )
        for address, endpoint in (
            (listen.callers, callers.app),
            (listen.operators, OperatorEndpoint(self.components).app),
            (listen.metrics, MetricsEndpoint(self.components).app),
        ):
            port = await listen_http(
                self.reactor,
                Address.parse(address),
                endpoint,
                max_body_bytes,
                self._channels,
            )
            self._ports.append(port)
        log_event("started", instance=self.instance, domain=self.domain)

    def _list_budgets(self) -> list[str]:
        return [budget.name for budget in self.configuration.document.list(Budget)]

    async def _update_peer_links(self) -> None:
        """Keep links to the other entry instances that the platform lists.

        If it lists none, the known addresses are kept.
        """
        addresses = {
            Address.parse(listed.peer)
            for listed in self.upstreams.listed
            if listed.role == ENTRY_ROLE
            and listed.peer
            and listed.name != self.instance.name
        }
        if addresses:
            self.peers.links.set_addresses(addresses)

    async def stop(self) -> bool:
        """Wait for running requests, write their bills and return all grants.

        Responses are sent in full before the instance ends, unless their callers need
        longer than the settings allow for requests in progress.

        :returns: whether all grants were returned before the deadline
        """
        log_event("stopping", running=self.runner.count_running())
        self.components.stopping = True
        self.runner.stopping = True
        self.peers.announce()
        deadline = self.reactor.seconds() + self.settings.limits.stop_seconds
        send_deadline = deadline
        while self.runner.count_running() and self.reactor.seconds() < deadline:
            await sleep(STOP_CHECK_INTERVAL_SECONDS, self.reactor)
        deadline = self.reactor.seconds() + RETURN_TIMEOUT_SECONDS
        returned = await self.grants.return_unspent(self.runner.count_running)
        while not returned and self.reactor.seconds() < deadline:
            await sleep(STOP_CHECK_INTERVAL_SECONDS, self.reactor)
            returned = await self.grants.return_unspent(self.runner.count_running)
        level = Level.INFO if returned else Level.ERROR
        log_event("stopped", level, grants_left=len(self.grants.holder.holdings))
        for port in self._ports:
            stopped = port.stopListening()
            if stopped is not None:
                await stopped
        seconds = max(0.0, send_deadline - self.reactor.seconds())
        unsent = await self._channels.close(seconds, self.reactor)
        if unsent:
            log_event("responses-cut-off", Level.ERROR, connections=unsent)
        await self.peers.stop()
        self._tasks.close()
        return returned

    # Calls from the peer task

    def make_heartbeat(self) -> Heartbeat:
        """Return this instance's heartbeat."""
        return Heartbeat(
            self.instance,
            self.domain,
            self.configuration.document.version,
            self.components.stopping,
            self.upstreams.list_leaving(),
        )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a peer's heartbeat."""
        self.configuration.receive_version(heartbeat.version)
        self.upstreams.mark_leaving(heartbeat.leaving_upstreams)

    def find_request(self, peer: InstanceId, query: FindRequest) -> FoundRequest:
        """Look up a running attempt of a request for a peer."""
        running = self.runner.index.takes_precedence(query.request, self.instance, peer)
        response = FoundRequest(query.number)
        return self.recovery.fill_response(query, response, running)

    def list_deltas(self, base: int) -> Deltas:
        """Return the configuration versions after a base version."""
        return self.configuration.list_deltas(base)

    def receive_deltas(self, message: Deltas) -> None:
        """Apply configuration versions that a peer sent."""
        self.configuration.receive_deltas(message)

    def receive_budget_call(self, message: HolderMessage | Recall) -> Any | None:
        """Return the response to a peer's budget message, ``None`` if there is none."""
        return self.grants.receive_call(message)

    def receive_budget_response(self, message: Any) -> None:
        """Process the response of a witness."""
        self.grants.receive_response(message)
        if message.kind == "settled":
            self.recovery.note_settled(message.grant, message.seqs)

    def link_opened(self, peer: InstanceId) -> None:
        """Resend unconfirmed messages to a peer that is reachable again."""
        self.grants.link_opened(peer)
