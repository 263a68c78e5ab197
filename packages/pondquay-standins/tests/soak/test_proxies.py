"""The proxy keeps bytes in order, as TCP connections do.

Guards against bytes that overtake delayed ones when the delay ends.
"""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

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
