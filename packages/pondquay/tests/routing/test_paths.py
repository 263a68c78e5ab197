"""Whose loss failed connections are, from what an instance and its peers can open."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondquay.addresses import Address
from pondquay.routing.paths import (
    MIN_FAILED_UPSTREAMS,
    RETRY_PATH_SECONDS,
    SLOW_CONNECT_SECONDS,
    UNREACHABLE_SECONDS,
    Direct,
    DirectPaths,
)

SERVICE = "board"
OTHER = "judge"
ADDRESSES = [Address("10.0.0.1", port) for port in range(1, 6)]
FIRST, SECOND, THIRD, *_ = ADDRESSES


def test_a_direct_connection_is_tried_first() -> None:
    plan = DirectPaths().plan(FIRST, SERVICE, 0.0)
    assert (plan.direct, plan.tunnel_after) == (Direct.YES, SLOW_CONNECT_SECONDS)


def test_a_path_that_only_peers_have_is_retried_without_waiting() -> None:
    paths = DirectPaths()
    paths.note_tunnelled(FIRST, SERVICE)
    plans = [paths.plan(FIRST, SERVICE, RETRY_PATH_SECONDS * n / 4) for n in range(8)]
    assert {plan.tunnel_after for plan in plans} == {0.0}
    assert [plan.direct for plan in plans].count(Direct.UNAWAITED) == 2
    assert Direct.YES not in {plan.direct for plan in plans}


# Guards against a fleet that avoids a service since one of its upstreams has crashed.
def test_one_failed_upstream_says_nothing_about_others() -> None:
    paths = DirectPaths()
    paths.note_failed(FIRST, SERVICE, refused=False)
    paths.note_tunnelled(FIRST, SERVICE)
    assert paths.plan(SECOND, SERVICE, 0.0).direct is Direct.YES


def test_lost_paths_to_several_upstreams_stand_for_their_service() -> None:
    paths = DirectPaths()
    for address in ADDRESSES[:MIN_FAILED_UPSTREAMS]:
        paths.note_tunnelled(address, SERVICE)
    assert paths.is_lost(THIRD, SERVICE)
    assert not paths.is_lost(THIRD, OTHER)


def test_a_connection_that_opens_clears_its_service_but_no_other_path() -> None:
    paths = DirectPaths()
    for address in (FIRST, SECOND):
        paths.note_failed(address, SERVICE, refused=False)
        paths.note_tunnelled(address, SERVICE)
    assert paths.note_opened(THIRD, SERVICE, 1.0) is False
    assert not paths.is_lost(THIRD, SERVICE)
    assert paths.is_lost(FIRST, SERVICE)
    assert paths.note_opened(FIRST, SERVICE, 1.0) is True
    assert not paths.is_lost(FIRST, SERVICE)
    assert paths.seconds_since_opened(3.0) == 2.0


# Guards against refusals although an untried upstream of the service responds.
def test_upstreams_that_did_not_fail_are_tried_while_others_do_not_respond() -> None:
    paths = DirectPaths()
    for address in (FIRST, SECOND):
        paths.plan(address, SERVICE, 0.0)
        paths.note_failed(address, SERVICE, refused=False)
    assert paths.seems_cut_off(SERVICE)
    assert paths.plan(FIRST, SERVICE, 0.5).direct is Direct.NO
    assert paths.plan(THIRD, SERVICE, 0.5).direct is Direct.YES


def test_upstreams_that_refuse_connections_are_reachable() -> None:
    paths = DirectPaths()
    for address in ADDRESSES:
        paths.note_failed(address, SERVICE, refused=True)
    assert not paths.seems_cut_off(SERVICE)
    assert paths.count_down() == len(ADDRESSES)


# Guards against twice the connections to an upstream that is down for everyone.
def test_peers_are_not_asked_again_at_once_about_an_upstream_that_is_down() -> None:
    paths = DirectPaths()
    paths.note_failed(FIRST, SERVICE, refused=True)
    paths.note_unreachable(FIRST, 0.0)
    assert paths.plan(FIRST, SERVICE, 0.0).tunnel_after is None
    assert paths.plan(FIRST, SERVICE, UNREACHABLE_SECONDS).tunnel_after is not None


def test_upstreams_that_are_gone_are_forgotten() -> None:
    paths = DirectPaths()
    for address in (FIRST, SECOND):
        paths.plan(address, SERVICE, 0.0)
        paths.note_failed(address, SERVICE, refused=False)
        paths.note_tunnelled(address, SERVICE)
    paths.retain({SECOND})
    assert (paths.count_down(), paths.count_lost()) == (1, 1)
    assert not paths.is_lost(FIRST, SERVICE)
    paths.retain(())
    assert not paths.has_failures


class Paths(RuleBasedStateMachine):
    """Any order of outcomes: an upstream that opened is used, a lost one is tunnelled.

    :ivar opened: whether the last outcome of an upstream was that it opened
    """

    def __init__(self) -> None:
        super().__init__()
        self.paths = DirectPaths()
        self.now = 0.0
        self.opened: dict[Address, bool] = {}
        self.lost: set[Address] = set()
        self.lost_since_opened: set[Address] = set()

    @rule(address=st.sampled_from(ADDRESSES))
    def open(self, address: Address) -> None:
        self.paths.note_opened(address, SERVICE, self.now)
        self.opened[address] = True
        self.lost.discard(address)
        self.lost_since_opened.clear()

    @rule(address=st.sampled_from(ADDRESSES), refused=st.booleans())
    def fail(self, address: Address, refused: bool) -> None:
        self.paths.note_failed(address, SERVICE, refused=refused)
        self.opened[address] = False

    @rule(address=st.sampled_from(ADDRESSES))
    def tunnel(self, address: Address) -> None:
        self.paths.note_tunnelled(address, SERVICE)
        self.lost.add(address)
        self.lost_since_opened.add(address)

    @rule(address=st.sampled_from(ADDRESSES))
    def find_unreachable(self, address: Address) -> None:
        self.paths.note_unreachable(address, self.now)

    @rule(seconds=st.sampled_from([0.0, 0.3, RETRY_PATH_SECONDS]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(address=st.sampled_from(ADDRESSES))
    def plan(self, address: Address) -> None:
        plan = self.paths.plan(address, SERVICE, self.now)
        if self.paths.is_lost(address, SERVICE):
            assert plan.tunnel_after == 0.0
            assert plan.direct is not Direct.YES
        elif self.opened.get(address, True):
            assert plan.direct is Direct.YES

    @invariant()
    def lost_paths_are_known(self) -> None:
        inferred = len(self.lost_since_opened) >= MIN_FAILED_UPSTREAMS
        for address in ADDRESSES:
            is_lost = address in self.lost or inferred
            assert self.paths.is_lost(address, SERVICE) == is_lost
        assert self.paths.count_lost() == len(self.lost)


TestPaths = Paths.TestCase
TestPaths.settings = settings(max_examples=60, stateful_step_count=40)
