"""A state machine: upstreams fall silent, reject and break under paid streams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pondquay_daemon.relay import requests

from .conftest import ENGINE, EVENT_TOKENS, PROMPT_TOKENS, ROUTES
from .partitions import HOSTS
from .silentfleet import SilentFleet
from .test_silent_streams import back_off, delay_tokens, keep_permits
from .versions import EVENTS, NEW, OLD

if TYPE_CHECKING:
    from .silentfleet import SilentCaller

PATH = "/paid/x"
VERSIONS = dict(zip(HOSTS[:3], (OLD, OLD, NEW), strict=True))
OUTPUTS = (EVENT_TOKENS * EVENTS, PROMPT_TOKENS)
TOKEN_DELAY_SECONDS = 0.2
(TIMEOUT_SECONDS,) = {route.timeout for route in ROUTES}
hosts = st.sampled_from(list(VERSIONS))


class SilentMachine(RuleBasedStateMachine):
    """Callers get streams that are paid for while upstreams come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.ended: list[dict[str, Any]] = []
        self._log = patch.object(requests, "log_event", self.record)
        self._log.start()
        self.fleet = SilentFleet.start_with(VERSIONS, ENGINE)
        delay_tokens(self.fleet, TOKEN_DELAY_SECONDS)
        self.callers: list[SilentCaller] = []

    def record(self, event: str, *_: object, **fields: Any) -> None:
        assert event != "request-failed", fields
        self.ended.append(fields)

    @rule(output=st.sampled_from(OUTPUTS), seconds=st.sampled_from([0.06, 0.5]))
    def call(self, output: int, seconds: float) -> None:
        self.callers.append(self.fleet.call(PATH, {"output": str(output)}))
        self.fleet.run_for(TOKEN_DELAY_SECONDS + seconds)

    @rule(silent=st.sets(hosts), seconds=st.sampled_from([0.1, 0.5, 1.0]))
    def fall_silent(self, silent: set[str], seconds: float) -> None:
        self.fleet.silent = silent
        self.fleet.run_for(seconds)

    @precondition(lambda self: self.callers)
    @rule(number=st.integers(0, 9))
    def leave(self, number: int) -> None:
        caller = self.callers[number % len(self.callers)]
        if not caller.transport.aborted:
            caller.leave()

    @rule(host=hosts)
    def break_connections(self, host: str) -> None:
        for connection in list(self.fleet.connections):
            if connection.host == host:
                connection.lose()

    @rule(rejecting=st.sets(hosts, max_size=1))
    def reject(self, rejecting: set[str]) -> None:
        self.fleet.rejecting = rejecting

    @rule(host=hosts, hinder=st.sampled_from([back_off, keep_permits]))
    def hinder(self, host: str, hinder: Any) -> None:
        hinder(self.fleet, host)

    @invariant()
    def streams_are_in_order(self) -> None:
        for caller in self.callers:
            assert caller.numbers == list(range(1, len(caller.numbers) + 1))

    @invariant()
    def budgets_hold(self) -> None:
        for account in self.fleet.components.accounts._accounts.values():
            assert account.used + account.reserved <= account.prepaid

    def teardown(self) -> None:
        """Let all requests end, and compare what they used with the accounts."""
        self._log.stop()
        with patch.object(requests, "log_event", self.record):
            self.fleet.silent = set()
            self.fleet.run_for(2 * TIMEOUT_SECONDS)
        assert len(self.ended) == len(self.callers)
        (account,) = self.fleet.components.accounts._accounts.values()
        assert account.reserved == 0
        assert account.used == sum(fields["tokens"] for fields in self.ended)


# Guards against tokens that are lost, or are charged twice, as a silent upstream was
# left or went on while its request was prepared to leave.
TestSilences = SilentMachine.TestCase
TestSilences.settings = settings(max_examples=25, stateful_step_count=12)
