"""The mesh of links between instances.

Links carry the configuration, announcements and loans of tokens, so that instances can
exchange them while the store is unreachable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.configurationfetch import ConfigurationFetch
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.linkplans import (
    HEARTBEAT_SECONDS,
    MAX_FAR_LINKS,
    MAX_SILENT_INTERVALS,
    LinkPlan,
)
from pondquay_daemon.relay.loadannouncer import LoadAnnouncer
from pondquay_daemon.relay.loandemands import LoanDemands
from pondquay_daemon.relay.loans import Lender
from pondquay_daemon.relay.member import Member
from pondquay_daemon.relay.peerlinks import LinkConnector, LinkListener, LinkOwner
from pondquay_daemon.relay.peermessages import (
    MESSAGE_TYPES,
    UNSOLICITED,
    ConfigurationValue,
    CrashStates,
    DomainEvacuations,
    FetchConfiguration,
    Heartbeat,
    Hello,
    Loan,
    LoanRequest,
    SupportedMessages,
    UndatedCrashes,
    UpstreamCrashes,
    UpstreamDepartures,
    UpstreamLoads,
    encode_message,
    make_earlier_form,
)
from pondquay_daemon.tasks import Task, read_arrived

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from twisted.internet.interfaces import IReactorTime

    from pondquay.addresses import Address
    from pondquay.routing.crashes import CrashReport
    from pondquay.routing.evacuations import Evacuation
    from pondquay.routing.upstreamrecords import Departure
    from pondquay_daemon.relay.peerlinks import PeerLink
    from pondquay_daemon.relay.peerlistener import PeerListener
    from pondquay_daemon.relay.peermessages import PeerMessage
    from pondquay_daemon.relay.peertopics import PeerTopic

LINK_TIMEOUT_SECONDS = 2.0
CONNECT_SECONDS = 0.5
# Maximum number of departures that are sent on a new link, the latest ones. The list of
# upstreams has dropped earlier ones for all instances.
MAX_ANNOUNCED_DEPARTURES = 256


class PeerMesh(Task, Lender, LinkOwner):
    """Opens and accepts the links of an instance and processes their messages.

    :param member: address and domain of this instance
    :param seeds: addresses of other instances to contact while there are no links
    """

    def __init__(
        self,
        reactor: IReactorTime,
        instance: str,
        member: Member,
        seeds: Iterable[Address],
        listener: PeerListener,
    ) -> None:
        super().__init__(reactor)
        self._reactor: Any = reactor
        self._instance = instance
        self._address = member.address
        self._listener = listener
        self._members: dict[str, Member] = {instance: member}
        self._domains: dict[str, str] = {instance: member.domain}
        self._seeds = [address for address in seeds if address != member.address]
        self._links: dict[str, PeerLink] = {}
        self._all_links: set[PeerLink] = set()
        self._connecting: set[Address] = set()
        self._plan = LinkPlan(self.clock, instance, member.domain)
        self._demands = LoanDemands(self.clock)
        self._load_announcer = LoadAnnouncer(
            self.clock, self._send_all, lambda: len(self._links) > MAX_FAR_LINKS
        )
        self._fetch = ConfigurationFetch(self.clock, listener, self._all_links)
        self._topics: list[PeerTopic] = []
        self._topics_by_message: dict[type[PeerMessage], PeerTopic] = {}

    def add_topic(self, topic: PeerTopic) -> None:
        """Register the handler of a topic's messages, before the first link opens."""
        self._topics.append(topic)
        self._topics_by_message.update(dict.fromkeys(topic.MESSAGES, topic))

    def start(self) -> None:
        """Start accepting and opening links."""
        self._reactor.listenTCP(
            self._address.port, LinkListener(self), 64, self._address.host
        )
        self.repeat(HEARTBEAT_SECONDS, self._send_heartbeats)

    def add_member(self, instance: str, member: Member) -> None:
        """Add or update an instance's address and domain."""
        self._members[instance] = member
        if self._domains.get(instance) != member.domain:
            self._domains = {**self._domains, instance: member.domain}

    def remove_member(self, instance: str) -> None:
        """Remove an instance that is no longer listed."""
        if instance != self._instance:
            self._members.pop(instance, None)
            self._plan.forget(instance)
            self._domains = {
                name: domain
                for name, domain in self._domains.items()
                if name != instance
            }

    @property
    def peers(self) -> list[str]:
        """Names of the instances to which there is a link."""
        return list(self._links)

    @property
    def domains(self) -> Mapping[str, str]:
        """The domains of all known instances; replaced, never mutated."""
        return self._domains

    def find_link(self, peer: str) -> PeerLink | None:
        """Return the link to a peer, ``None`` if there is none."""
        return self._links.get(peer)

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all peers."""
        self._send_all(message)

    def announce_version(self) -> None:
        """Announce the version of the configuration in force to all peers."""
        self._send_all(Heartbeat(self._listener.configuration_version()))

    def announce_departure(self, departure: Departure) -> None:
        """Announce to all peers that an upstream leaves."""
        self._send_all(UpstreamDepartures.pack([departure]))

    def announce_evacuation(self, evacuation: Evacuation) -> None:
        """Announce to all peers that a domain was evacuated or restored."""
        self._send_all(DomainEvacuations.pack([evacuation]))

    def announce_crashes(self, reports: Iterable[CrashReport]) -> None:
        """Announce reports on crashes to all peers."""
        self._send_all(CrashStates.pack(reports))

    def announce_load(
        self, upstream: str, count: Callable[[], int], parts: Iterable[str]
    ) -> None:
        """Schedule an announcement of this instance's load at an upstream.

        :param count: returns its prompt tokens that wait at the upstream
        :param parts: shared parts that the upstream has processed
        """
        self._load_announcer.announce(upstream, count, parts)

    async def borrow(
        self, peer: str, workspace: str, tokens: int, headroom: int = 0
    ) -> int:
        """Request tokens from a peer; return how many were received in time."""
        link = self._links.get(peer)
        if link is None:
            return 0
        return await self._demands.ask(link, workspace, tokens, headroom)

    def transfer(self, peer: str, workspace: str, tokens: int) -> None:
        """Send a peer tokens that this instance has counted as spent."""
        link = self._links.get(peer)
        if link is not None:
            link.send(Loan(UNSOLICITED, workspace, tokens))

    def greet(self, link: PeerLink) -> None:
        """Send the greeting and the known state on a new link."""
        link.last_seen_at = self.clock.seconds()
        self._all_links.add(link)
        members = {
            name: (str(member.address), member.domain)
            for name, member in self._members.items()
        }
        link.send(Hello(self._instance, members))
        link.send(SupportedMessages(sorted(MESSAGE_TYPES)))
        link.send(Heartbeat(self._listener.configuration_version()))
        link.send(
            UpstreamDepartures.pack(
                self._listener.departures()[-MAX_ANNOUNCED_DEPARTURES:]
            )
        )
        if evacuations := self._listener.evacuations():
            link.send(DomainEvacuations.pack(evacuations))
        if crashes := self._listener.crash_reports():
            link.send(CrashStates.pack(crashes))
        for topic in self._topics:
            if (greeting := topic.make_greeting()) is not None:
                link.send(greeting)

    def note_disconnected(self, link: PeerLink) -> None:
        """Remove a link that was closed."""
        self._all_links.discard(link)
        self._demands.abandon(link)
        if self._links.get(link.instance) is link:
            del self._links[link.instance]
            self._listener.forget_loads(link.instance)
            for topic in self._topics:
                topic.note_disconnected(link)
            log_event("peer-lost", Level.WARNING, peer=link.instance)

    def note_connection_ended(self, address: Address) -> None:
        """Record that a connection to an address failed or was closed."""
        self._connecting.discard(address)

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Process a message."""
        link.last_seen_at = self.clock.seconds()
        if isinstance(message, Hello):
            self._receive_hello(link, message)
        elif isinstance(message, SupportedMessages):
            self._receive_supported(link, message)
        elif isinstance(message, Heartbeat):
            self._receive_version(link, message.version)
        elif isinstance(message, FetchConfiguration):
            self._send_configuration(link)
        elif isinstance(message, ConfigurationValue):
            self._receive_configuration(link, message)
        elif isinstance(message, LoanRequest | Loan):
            self._receive_loan_message(link, message)
        elif (topic := self._topics_by_message.get(type(message))) is not None:
            topic.receive(link, message)
        else:
            self._receive_announcement(link, message)

    def _receive_announcement(self, link: PeerLink, message: PeerMessage) -> None:
        if isinstance(message, UpstreamDepartures):
            for departure in message.unpack():
                self._listener.receive_departure(departure)
        elif isinstance(message, DomainEvacuations):
            for evacuation in message.unpack():
                self._listener.receive_evacuation(evacuation)
        elif isinstance(message, CrashStates):
            for report in message.unpack():
                self._listener.receive_crash(report)
        elif isinstance(message, UpstreamCrashes | UndatedCrashes):
            self._receive_earlier_crashes(link, message)
        elif isinstance(message, UpstreamLoads):
            for upstream, tokens, parts in message.loads:
                self._listener.receive_load(link.instance, upstream, tokens, parts)

    def _receive_earlier_crashes(
        self, link: PeerLink, message: UpstreamCrashes | UndatedCrashes
    ) -> None:
        """Merge reports in an earlier form, unless the peer also sends a later one."""
        if link.supports(CrashStates) or (
            isinstance(message, UndatedCrashes) and link.supports(UpstreamCrashes)
        ):
            return
        for report in message.unpack():
            self._listener.receive_crash(report)

    def _receive_loan_message(
        self, link: PeerLink, message: LoanRequest | Loan
    ) -> None:
        if isinstance(message, Loan):
            self._receive_loan(link, message)
            return
        lent = self._listener.lend(message.workspace, message.tokens, message.ahead)
        link.send(Loan(message.number, message.workspace, lent))

    def _receive_hello(self, link: PeerLink, hello: Hello) -> None:
        link.instance = hello.instance
        for name, (address, domain) in hello.members.items():
            if name not in self._members:
                self._add_member_from(link, name, address, domain)
        self._plan.forget(hello.instance)
        if hello.instance not in self._links:
            self._links[hello.instance] = link
            log_event("peer-linked", peer=hello.instance)

    def _receive_supported(self, link: PeerLink, message: SupportedMessages) -> None:
        link.supported_codes = frozenset(message.codes)
        for topic in self._topics:
            topic.note_supported(link)

    def _add_member_from(
        self, link: PeerLink, name: str, address: str, domain: str
    ) -> None:
        try:
            self.add_member(name, Member.parse(address, domain))
        except ValueError as error:
            log_event(
                "member-malformed",
                Level.ERROR,
                instance=name,
                peer=link.instance,
                error=error,
            )

    def _receive_version(self, link: PeerLink, version: int) -> None:
        link.version = version
        if version > self._listener.configuration_version():
            self._fetch.begin()

    def _send_configuration(self, link: PeerLink) -> None:
        value = self._listener.configuration_value()
        if value is not None:
            version = self._listener.configuration_version()
            link.send(ConfigurationValue.pack(version, value))

    def _receive_configuration(
        self, link: PeerLink, message: ConfigurationValue
    ) -> None:
        if message.version <= self._listener.configuration_version():
            return
        try:
            self._listener.offer_configuration(message.unpack())
        except MalformedValueError as error:
            log_event("peer-malformed", Level.WARNING, peer=link.instance, error=error)
            link.drop()

    def _receive_loan(self, link: PeerLink, loan: Loan) -> None:
        """Credit a loan, even if it arrives after its timeout."""
        if loan.tokens > 0:
            returned = loan.number == UNSOLICITED
            self._listener.receive_loan(loan.workspace, loan.tokens, returned=returned)
        self._demands.complete(link, loan)

    async def _send_heartbeats(self) -> None:
        if self._list_unresponsive():
            # After a stall of this process, their messages may wait to be read.
            await read_arrived(self.clock)
        for link in self._list_unresponsive():
            link.drop()
        # Each link is kept alive separately, since two instances may have opened one
        # link each and may use different ones.
        data = encode_message(Heartbeat(self._listener.configuration_version()))
        for link in self._all_links:
            link.silent_intervals += 1
            if link.silent_intervals >= MAX_SILENT_INTERVALS:
                link.send_bytes(data)
        self._open_links()

    def _list_unresponsive(self) -> list[PeerLink]:
        now = self.clock.seconds()
        return [
            link
            for link in self._all_links
            if now - link.last_seen_at > LINK_TIMEOUT_SECONDS
        ]

    def _open_links(self) -> None:
        addresses = self._plan.choose(
            self._members,
            self._links,
            self._listener.co_lenders(),
            {peer for topic in self._topics for peer in topic.list_requested()},
        )
        if not self._links:
            addresses += self._seeds
        for address in addresses:
            self._connect(address)

    def _connect(self, address: Address) -> None:
        if address in self._connecting:
            return
        self._connecting.add(address)
        self._reactor.connectTCP(
            address.host,
            address.port,
            LinkConnector(self, address),
            timeout=CONNECT_SECONDS,
        )

    def _send_all(self, message: PeerMessage) -> None:
        data = encode_message(message)
        earlier = make_earlier_form(message)
        for link in self._links.values():
            if earlier is None:
                link.send_bytes(data)
            else:
                link.send(message)
