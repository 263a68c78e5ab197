"""A state machine: instances and upstreams come and go while streams go on."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pondquay.routing.streamorigins import digest_attempt

from .conftest import STEP_SECONDS, RelaySide
from .partitions import HOSTS, LINKED_SECONDS
from .versions import EVENTS, OLD, TRY_SECONDS, StreamCaller, VersionedFleet, list_mixed

DOMAINS = ("a", "a", "b", "c")
MIN_RELAYS = 2
MAX_RELAYS = 7
VERSIONS = ("v1", "v2", "v3")
# Time for streams to receive some of their events.
SOME_EVENTS_SECONDS = 5 * STEP_SECONDS


class StreamMachine(RuleBasedStateMachine):
    """Callers begin streams and take them up while the fleet changes."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = VersionedFleet.start(DOMAINS, software=OLD)
        self.fleet.set_versions(self.fleet.versions)
        self.hosts = len(HOSTS)

    @property
    def live(self) -> list[RelaySide]:
        return [
            relay for relay in self.fleet.relays if relay.host not in self.fleet.killed
        ]

    @property
    def has_open_streams(self) -> bool:
        return not all(caller.completed for caller in self.fleet.callers)

    @rule(number=st.integers(0, 9))
    def begin(self, number: int) -> None:
        relay = self.live[number % len(self.live)]
        self.fleet.begin_streams(5, [relay])
        self.fleet.run_for(SOME_EVENTS_SECONDS)

    @precondition(lambda self: self.has_open_streams)
    @rule(hosts=st.sets(st.sampled_from(HOSTS), max_size=2))
    def break_upstreams(self, hosts: set[str]) -> None:
        for connection in self.fleet.connections:
            if connection.host in hosts:
                connection.lose()
        self.fleet.run_for(SOME_EVENTS_SECONDS)

    @precondition(lambda self: len(self.live) > MIN_RELAYS)
    @rule(number=st.integers(0, 9))
    def kill(self, number: int) -> None:
        self.fleet.kill(self.live[number % len(self.live)])
        self.fleet.run_for(STEP_SECONDS)

    @precondition(lambda self: len(self.fleet.relays) < MAX_RELAYS)
    @rule(domain=st.sampled_from(DOMAINS))
    def start_relay(self, domain: str) -> None:
        number = len(self.fleet.relays) + 1
        relay = RelaySide(fleet_peer=self.fleet.relays[0], number=number, domain=domain)
        self.fleet.relays.append(relay)
        relay.start()
        self.fleet.run_for(LINKED_SECONDS)

    @rule(version=st.sampled_from(VERSIONS))
    def start_upstreams(self, version: str) -> None:
        self.hosts += 2
        hosts = [f"10.0.3.{number}" for number in (self.hosts, self.hosts + 1)]
        self.fleet.set_versions(dict.fromkeys(hosts, version))

    @rule(version=st.sampled_from(VERSIONS))
    def end_upstreams(self, version: str) -> None:
        hosts = self.list_upstreams(version)
        if len(hosts) == len(self.fleet.versions):
            return
        for host in hosts:
            self.fleet.relays[0].store.delete_upstream(host)
            del self.fleet.versions[host]
        self.fleet.stop_upstreams(*hosts)
        self.fleet.run_for(SOME_EVENTS_SECONDS)

    @precondition(lambda self: self.has_open_streams)
    @rule()
    def take_up(self) -> None:
        self.fleet.break_callers()
        expected = [
            caller
            for caller in self.fleet.callers
            if caller.broken and self.can_go_on(caller)
        ]
        before = {id(caller): len(caller.events) for caller in expected}
        taken_up = self.fleet.take_up(self.live)
        self.fleet.run_for(TRY_SECONDS)
        for caller in expected:
            if caller in taken_up:
                events = len(caller.events)
                assert events > before[id(caller)] or events == EVENTS, caller.status

    @invariant()
    def no_stream_is_mixed(self) -> None:
        assert list_mixed(self.fleet) == []

    def list_upstreams(self, version: str) -> list[str]:
        return [host for host, other in self.fleet.versions.items() if other == version]

    def can_go_on(self, caller: StreamCaller) -> bool:
        """Whether an instance knows its origin and upstreams of its version serve."""
        if not caller.versions:
            return False
        (version,) = caller.versions
        key = digest_attempt("", caller.first_attempt)
        is_known = any(relay.knows_stream(key) for relay in self.live)
        return is_known and bool(self.list_upstreams(version))


TestStreams = StreamMachine.TestCase
TestStreams.settings = settings(max_examples=15, stateful_step_count=12)
