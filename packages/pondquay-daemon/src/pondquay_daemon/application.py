"""One entry instance: its tasks, how they are joined, and its planned stop."""

from __future__ import annotations

from contextlib import ExitStack
from secrets import token_hex
from typing import TYPE_CHECKING, Any

from pondquay.membership.messages import FoundRequest, Heartbeat
from pondquay.names import InstanceId
from pondquay_daemon.addresses import Address
from pondquay_daemon.doors.callers import CallerDoor
from pondquay_daemon.doors.metrics import MetricsDoor
from pondquay_daemon.doors.operators import OperatorDoor
from pondquay_daemon.doors.sites import listen_http
from pondquay_daemon.engines import Engines
from pondquay_daemon.keeper import Keeper
from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.metrics import Metrics
from pondquay_daemon.peers import PeerListener, PeerTask
from pondquay_daemon.platform import Platform
from pondquay_daemon.recovery import Recovery
from pondquay_daemon.runner import Runner
from pondquay_daemon.services import Services
from pondquay_daemon.tasks import sleep
from pondquay_daemon.treasury import Treasury
from pondquay_daemon.upstreams import Upstreams

if TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort

    from pondquay.budgets.messages import HolderMessage, Recall
    from pondquay.membership.messages import Deltas, FindRequest
    from pondquay_daemon.settings import Settings

BOOT_BYTES = 6
STOP_STEP_SECONDS = 0.05
HAND_BACK_SECONDS = 30.0
ENTRY = "entry"


class Application(PeerListener):
    """All tasks of one instance."""

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
        self.keeper = Keeper(reactor, self.platform, self.peers)
        self.engines = Engines(reactor)
        self.upstreams = Upstreams(
            reactor,
            self.platform,
            self.engines,
            self.keeper,
            self.domain,
            settings.policies.routing,
        )
        self.treasury = Treasury(
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
            self.treasury,
            self.upstreams,
            self.engines,
        )
        self.runner = Runner(
            reactor,
            str(self.instance),
            self.platform,
            self.treasury,
            self.upstreams,
            self.engines,
            Services(reactor),
            self.recovery,
            self.keeper,
            self.metrics,
        )
        self.stopping = False
        self._tasks = ExitStack()
        self._ports: list[IListeningPort] = []

    async def start(self) -> None:
        """Open the doors and begin all tasks."""
        doors = self.settings.doors
        for task in (
            self.peers,
            self.keeper,
            self.upstreams,
            self.treasury,
            self.recovery,
            self.runner,
        ):
            self._tasks.enter_context(task)
        await self.peers.start(Address.parse(doors.peers), self)
        self.keeper.start()
        self.upstreams.start()
        self.treasury.start()
        self.recovery.start()
        self.runner.start()
        self.peers.repeat(1.0, self._follow_peers)
        most = self.settings.limits.body_bytes
        for address, door in (
            (doors.callers, CallerDoor(self).app),
            (doors.operators, OperatorDoor(self).app),
            (doors.metrics, MetricsDoor(self).app),
        ):
            port = await listen_http(self.reactor, Address.parse(address), door, most)
            self._ports.append(port)
        log_event("started", instance=self.instance, domain=self.domain)

    async def _follow_peers(self) -> None:
        """Keep links to the entry instances that the platform lists."""
        addresses = {
            Address.parse(one.peer)
            for one in self.upstreams.listed
            if one.role == ENTRY and one.peer and one.name != self.instance.name
        }
        if addresses:
            self.peers.links.want(addresses)

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.keeper.loaded and not self.stopping

    async def stop(self) -> bool:
        """Stop as planned: streams finish, bills are written, grants go back.

        :returns: whether all of that was done in time
        """
        log_event("stopping", running=self.runner.running())
        self.stopping = True
        self.runner.stopping = True
        self.peers.announce()
        deadline = self.reactor.seconds() + self.settings.limits.stop_seconds
        while self.runner.running() and self.reactor.seconds() < deadline:
            await sleep(STOP_STEP_SECONDS, self.reactor)
        deadline = self.reactor.seconds() + HAND_BACK_SECONDS
        done = await self.treasury.hand_back(self.runner.running)
        while not done and self.reactor.seconds() < deadline:
            await sleep(STOP_STEP_SECONDS, self.reactor)
            done = await self.treasury.hand_back(self.runner.running)
        level = Level.INFO if done else Level.ERROR
        log_event("stopped", level, grants_left=len(self.treasury.holder.holdings))
        for port in self._ports:
            stopped = port.stopListening()
            if stopped is not None:
                await stopped
        await self.peers.stop()
        self._tasks.close()
        return done

    # What peers are told

    def describe(self) -> Heartbeat:
        """Return our own heartbeat."""
        return Heartbeat(
            self.instance,
            self.domain,
            self.keeper.document.version,
            self.stopping,
            self.upstreams.leaving(),
        )

    def hear_peer(self, heartbeat: Heartbeat) -> None:
        """Take in what a peer said of itself."""
        self.keeper.hear_version(heartbeat.version)
        self.upstreams.mark_leaving(heartbeat.leaving_upstreams)

    def find_request(self, peer: InstanceId, question: FindRequest) -> FoundRequest:
        """Look for a running attempt of a request, for a peer."""
        running = self.runner.book.runs_before(question.request, self.instance, peer)
        found = FoundRequest(question.number)
        return self.recovery.answer_question(question, found, running)

    def list_deltas(self, base: int) -> Deltas:
        """Return the versions of the configuration after a base."""
        return self.keeper.list_deltas(base)

    def receive_deltas(self, message: Deltas) -> None:
        """Take in versions of the configuration."""
        self.keeper.receive_deltas(message)

    def receive_budget_call(self, message: HolderMessage | Recall) -> Any | None:
        """Answer the holder of a grant."""
        return self.treasury.receive_call(message)

    def receive_budget_answer(self, message: Any) -> None:
        """Take in the answer of a witness."""
        self.treasury.receive_answer(message)
        if message.kind == "settled":
            self.recovery.note_settled(message.grant, message.seqs)

    def link_opened(self, peer: InstanceId) -> None:
        """Learn that a peer can be reached."""
        self.treasury.link_opened(peer)
