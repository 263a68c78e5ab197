"""The proxy keeps bytes in order, as TCP connections do.

Guards against bytes that overtake delayed ones when the delay ends.
"""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from pondquay_standins.soak import proxies
from pondquay_standins.soak.proxies import (
    DELAY_SECONDS,
    PortMapping,
    ProxyEnd,
    ProxyFault,
)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Any:
    clock = Clock()
    monkeypatch.setattr(proxies, "reactor", clock)
    return clock


@pytest.fixture
def ends() -> tuple[PortMapping, ProxyEnd, StringTransport]:
    """Return a mapping, an end that receives bytes and the other end's transport."""
    mapping = PortMapping(0)
    client_end, target_end = (ProxyEnd(mapping, frozenset()) for _ in range(2))
    target_transport = StringTransport()
    client_end.makeConnection(StringTransport())
    target_end.makeConnection(target_transport)
    client_end.join(target_end)
    return mapping, client_end, target_transport


def test_bytes_do_not_overtake_delayed_ones(
    clock: Clock, ends: tuple[PortMapping, ProxyEnd, StringTransport]
) -> None:
    mapping, client_end, target_transport = ends
    client_end.dataReceived(b"1")
    mapping.set_fault(ProxyFault.DELAY)
    client_end.dataReceived(b"2")
    clock.advance(DELAY_SECONDS / 2)
    mapping.set_fault(ProxyFault.NONE)
    client_end.dataReceived(b"3")
    assert target_transport.value() == b"1"
    clock.advance(DELAY_SECONDS)
    assert target_transport.value() == b"123"
    client_end.dataReceived(b"4")
    assert target_transport.value() == b"1234"


@pytest.fixture
def resetting() -> tuple[PortMapping, ProxyEnd, Mock]:
    """Return a mapping, an end that dropping faults affect and the other transport."""
    mapping = PortMapping(0)
    dropping = frozenset({ProxyFault.NO_RESPONSES})
    end, other = ProxyEnd(mapping, dropping), ProxyEnd(mapping, frozenset())
    transport = Mock()
    end.makeConnection(StringTransport())
    other.makeConnection(transport)
    end.join(other)
    return mapping, end, transport


# Guards against a reset that the relay sees as an orderly close.
@pytest.mark.parametrize(
    ("error", "method"),
    [(ConnectionLost(), "abortConnection"), (ConnectionDone(), "loseConnection")],
)
def test_a_connection_ends_as_that_of_the_other_side(
    resetting: tuple[PortMapping, ProxyEnd, Mock], error: Exception, method: str
) -> None:
    _, end, transport = resetting
    end.connectionLost(Failure(error))
    assert [call[0] for call in transport.method_calls] == [method]


# Guards against a response that is cut off by an orderly close.
def test_an_orderly_close_follows_delayed_bytes(
    clock: Clock, resetting: tuple[PortMapping, ProxyEnd, Mock]
) -> None:
    mapping, end, transport = resetting
    mapping.set_fault(ProxyFault.DELAY)
    end.dataReceived(b"1")
    end.dataReceived(b"2")
    end.connectionLost(Failure(ConnectionDone()))
    assert not transport.method_calls
    clock.advance(DELAY_SECONDS)
    calls = [call[0] for call in transport.method_calls]
    assert calls == ["write", "write", "loseConnection"]


def test_a_connection_that_lost_bytes_ends_by_a_reset(
    resetting: tuple[PortMapping, ProxyEnd, Mock],
) -> None:
    mapping, end, transport = resetting
    mapping.set_fault(ProxyFault.NO_RESPONSES)
    end.dataReceived(b"1")
    end.connectionLost(Failure(ConnectionDone()))
    assert [call[0] for call in transport.method_calls] == ["abortConnection"]
