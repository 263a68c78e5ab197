"""Links between instances: configuration, leaving upstreams, and loans of tokens.

An instance that the store does not serve learns through them what the others know, and
tokens that one instance holds and another needs go over without the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.configurationfetch import ConfigurationFetch
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.linkplans import (
    HEARTBEAT_SECONDS,
    MAX_FAR_LINKS,
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
from pondquay_daemon.tasks import Task

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

SILENT_SECONDS = 2.0
CONNECT_SECONDS = 0.5
# Departures that are told on a new link, the newest. Those before are long gone, and
# the platform's list has lost them for everyone.
MAX_TOLD = 256


class PeerMesh(Task, Lender, LinkOwner):
    """All links of one instance.

    :param member: where this instance is
    :param seeds: addresses of some others
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
        self._seeds = [one for one in seeds if one != member.address]
        self._links: dict[str, PeerLink] = {}
        self._all: set[PeerLink] = set()
        self._connecting: set[Address] = set()
        self._plan = LinkPlan(self.clock, instance, member.domain)
        self._demands = LoanDemands(self.clock)
        self._load_news = LoadAnnouncer(
            self.clock, self._send_all, lambda: len(self._links) > MAX_FAR_LINKS
        )
        self._fetch = ConfigurationFetch(self.clock, listener, self._all)
        self._topics: list[PeerTopic] = []
        self._topic_of: dict[type[PeerMessage], PeerTopic] = {}

    def add_topic(self, topic: PeerTopic) -> None:
        """Have a matter's messages handed to it; before the first link."""
        self._topics.append(topic)
        self._topic_of.update(dict.fromkeys(topic.MESSAGES, topic))

    def start(self) -> None:
        """Accept and open links."""
        self._reactor.listenTCP(
            self._address.port, LinkListener(self), 64, self._address.host
        )
        self.repeat(HEARTBEAT_SECONDS, self._beat)

    def learn(self, instance: str, member: Member) -> None:
        """Take in where an instance is."""
        self._members[instance] = member
        if self._domains.get(instance) != member.domain:
            self._domains = {**self._domains, instance: member.domain}

    def forget(self, instance: str) -> None:
        """Take in that an instance is gone."""
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
        """Names of the instances to which a link is open."""
        return list(self._links)

    @property
    def domains(self) -> Mapping[str, str]:
        """The domains of all known instances; never changed, only replaced."""
        return self._domains

    def find_link(self, peer: str) -> PeerLink | None:
        """Return the link to a peer, ``None`` if there is none."""
        return self._links.get(peer)

    def tell_all(self, message: PeerMessage) -> None:
        """Send a message to all peers."""
        self._send_all(message)

    def announce_version(self) -> None:
        """Tell all peers which configuration is in force here."""
        self._send_all(Heartbeat(self._listener.configuration_version()))

    def announce_departure(self, departure: Departure) -> None:
        """Tell all peers that an upstream leaves."""
        self._send_all(UpstreamDepartures.pack([departure]))

    def announce_evacuation(self, news: Evacuation) -> None:
        """Tell all peers that a domain is emptied or was taken back."""
        self._send_all(DomainEvacuations.pack([news]))

    def announce_crashes(self, reports: Iterable[CrashReport]) -> None:
        """Tell all peers of contents under which upstreams crashed."""
        self._send_all(UpstreamCrashes.pack(reports))

    def announce_load(
        self, upstream: str, count: Callable[[], int], parts: Iterable[str]
    ) -> None:
        """Tell all peers soon what waits at an upstream.

        :param count: returns the prompt tokens that wait there then
        """
        self._load_news.announce(upstream, count, parts)

    async def borrow(
        self, peer: str, workspace: str, tokens: int, headroom: int = 0
    ) -> int:
        """Ask a peer for tokens; return how many came in time."""
        link = self._links.get(peer)
        if link is None:
            return 0
        return await self._demands.ask(link, workspace, tokens, headroom)

    def transfer(self, peer: str, workspace: str, tokens: int) -> None:
        """Hand over tokens that were counted as spent here."""
        link = self._links.get(peer)
        if link is not None:
            link.send(Loan(UNSOLICITED, workspace, tokens))

    def greet(self, link: PeerLink) -> None:
        """Send the first message on a link."""
        link.last_seen_at = self.clock.seconds()
        self._all.add(link)
        members = {
            name: (str(one.address), one.domain) for name, one in self._members.items()
        }
        link.send(Hello(self._instance, members))
        link.send(SupportedMessages(sorted(MESSAGE_TYPES)))
        link.send(Heartbeat(self._listener.configuration_version()))
        link.send(UpstreamDepartures.pack(self._listener.departures()[-MAX_TOLD:]))
        if evacuations := self._listener.evacuations():
            link.send(DomainEvacuations.pack(evacuations))
        if crashes := self._listener.crash_reports():
            link.send(UpstreamCrashes.pack(crashes))
        for topic in self._topics:
            link.send(topic.make_greeting())

    def lose(self, link: PeerLink) -> None:
        """Forget a link."""
        self._all.discard(link)
        self._demands.lose(link)
        if self._links.get(link.instance) is link:
            del self._links[link.instance]
            self._listener.forget_loads(link.instance)
            for topic in self._topics:
                topic.lose(link)
            log_event("peer-lost", Level.WARNING, peer=link.instance)

    def end_connecting(self, address: Address) -> None:
        """Learn that a link to an address failed or is gone."""
        self._connecting.discard(address)

    def receive(self, link: PeerLink, message: PeerMessage) -> None:
        """Act on a message."""
        link.last_seen_at = self.clock.seconds()
        if isinstance(message, Hello):
            self._receive_hello(link, message)
        elif isinstance(message, SupportedMessages):
            self._receive_understood(link, message)
        elif isinstance(message, Heartbeat):
            self._receive_version(link, message.version)
        elif isinstance(message, FetchConfiguration):
            self._send_configuration(link)
        elif isinstance(message, ConfigurationValue):
            self._receive_configuration(link, message)
        elif isinstance(message, LoanRequest | Loan):
            self._receive_tokens(link, message)
        elif topic := self._topic_of.get(type(message)):
            topic.receive(link, message)
        else:
            self._receive_news(link, message)

    def _receive_news(self, link: PeerLink, message: PeerMessage) -> None:
        if isinstance(message, UpstreamDepartures):
            for departure in message.unpack():
                self._listener.receive_departure(departure)
        elif isinstance(message, DomainEvacuations):
            for news in message.unpack():
                self._listener.receive_evacuation(news)
        elif isinstance(message, UpstreamCrashes):
            for report in message.unpack():
                self._listener.receive_crash(report)
        elif isinstance(message, UndatedCrashes):
            self._receive_undated(link, message)
        elif isinstance(message, UpstreamLoads):
            for upstream, tokens, parts in message.loads:
                self._listener.receive_load(link.instance, upstream, tokens, parts)

    def _receive_undated(self, link: PeerLink, message: UndatedCrashes) -> None:
        """Take crashes without ages, unless the peer says them with ages as well."""
        if link.reads(UpstreamCrashes):
            return
        for report in message.unpack():
            self._listener.receive_crash(report)

    def _receive_tokens(self, link: PeerLink, message: LoanRequest | Loan) -> None:
        if isinstance(message, Loan):
            self._receive_loan(link, message)
            return
        lent = self._listener.lend(message.workspace, message.tokens, message.ahead)
        link.send(Loan(message.number, message.workspace, lent))

    def _receive_hello(self, link: PeerLink, hello: Hello) -> None:
        link.instance = hello.instance
        for name, (address, domain) in hello.members.items():
            if name not in self._members:
                self._learn_from(link, name, address, domain)
        self._plan.forget(hello.instance)
        if hello.instance not in self._links:
            self._links[hello.instance] = link
            log_event("peer-linked", peer=hello.instance)

    def _receive_understood(self, link: PeerLink, message: SupportedMessages) -> None:
        link.understood = frozenset(message.codes)
        for topic in self._topics:
            topic.note_understood(link)

    def _learn_from(self, link: PeerLink, name: str, address: str, domain: str) -> None:
        try:
            self.learn(name, Member.parse(address, domain))
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
        """Take a loan, also one that comes after it was waited for."""
        if loan.tokens > 0:
            returned = loan.number == UNSOLICITED
            self._listener.receive_loan(loan.workspace, loan.tokens, returned=returned)
        self._demands.end(link, loan)

    async def _beat(self) -> None:
        self._drop_silent()
        # Both ends of a pair may have opened a link and use different ones, so each
        # link is kept alive by itself.
        data = encode_message(Heartbeat(self._listener.configuration_version()))
        for link in self._all:
            if not link.has_sent:
                link.send_bytes(data)
            link.has_sent = False
        self._open_links()

    def _drop_silent(self) -> None:
        now = self.clock.seconds()
        for link in list(self._all):
            if now - link.last_seen_at > SILENT_SECONDS:
                link.drop()

    def _open_links(self) -> None:
        addresses = self._plan.choose(
            self._members,
            self._links,
            self._listener.co_lenders(),
            {one for topic in self._topics for one in topic.list_requested()},
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
        former = make_earlier_form(message)
        for link in self._links.values():
            if former is None:
                link.send_bytes(data)
            else:
                link.send(message)
