"""What an instance does about its peers, on an event loop that may stall."""

from __future__ import annotations

from typing import Any
from unittest.mock import AsyncMock, Mock

import pytest

from pondquay.membership.messages import Heartbeat
from pondquay.membership.peers import SUSPECT_AFTER_SECONDS
from pondquay.names import InstanceId
from pondquay_daemon.peers import PeerTask
from pondquay_daemon.recovery import SWEEP_INTERVAL_SECONDS, Recovery

from .stalledclock import StalledClock

INSTANCE = InstanceId("entry-1", "b1")
PEER = InstanceId("entry-2", "b2")
DOMAIN = "hall-a"


class Instance:
    """An instance that looks after the grants of a peer.

    :ivar sealed_at: times at which the peer's grants were sealed
    """

    def __init__(self) -> None:
        self.clock = StalledClock()
        self.sealed_at: list[float] = []
        self._peers = PeerTask(self.clock, INSTANCE, DOMAIN, b"key")
        self.receive_heartbeat()
        recovery = Recovery(
            self.clock, INSTANCE, AsyncMock(), self._peers, Mock(), Mock(), Mock()
        )
        succession: Any = Mock(sealed={})
        succession.seal_unresponsive = self._seal_unresponsive
        recovery.succession = succession
        recovery.start()

    def _seal_unresponsive(self) -> list[object]:
        if self._peers.is_presumed_dead(PEER):
            self.sealed_at.append(self.clock.seconds())
        return []

    def receive_heartbeat(self) -> None:
        heartbeat = Heartbeat(PEER, DOMAIN, 0, False)
        self._peers.table.receive(heartbeat, self._peers.now())


# Guards against grants of living peers that are sealed, since their heartbeats are read
# only after the first sweep that follows a stall of the process.
@pytest.mark.parametrize("stall", [1.0, 5.0, 15.0])
def test_heartbeats_that_arrive_during_a_stall_are_read_first(stall: float) -> None:
    instance = Instance()
    instance.clock.advance(0)
    instance.clock.stall(stall)
    instance.clock.turn(instance.receive_heartbeat)
    for _ in range(3):
        instance.clock.turn()
    assert instance.sealed_at == []


def test_grants_of_a_silent_peer_are_sealed() -> None:
    instance = Instance()
    for _ in range(round(SUSPECT_AFTER_SECONDS / SWEEP_INTERVAL_SECONDS)):
        instance.clock.advance(SWEEP_INTERVAL_SECONDS)
    assert instance.sealed_at == [SUSPECT_AFTER_SECONDS]
