"""The soak's proxy harms connections as networks do, and in no other way.

Seen: of a stream of 19 events an instance got five and the end (seed 3004). The line
was slow for a while; what came once that was over overtook what was still on its way,
which no connection does. The instance cannot tell that from a stream that is whole.
"""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from pondquay_standins.soak import proxies
from pondquay_standins.soak.proxies import DELAY_SECONDS, Line, ProxyEnd, ProxyFault


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Any:
    clock = Clock()
    monkeypatch.setattr(proxies, "reactor", clock)
    return clock


@pytest.fixture
def ends() -> tuple[Line, ProxyEnd, StringTransport]:
    """A line, an end into which bytes come, and where the other passes them on."""
    line = Line(0)
    near, far = (ProxyEnd(line, frozenset()) for _ in range(2))
    out = StringTransport()
    near.makeConnection(StringTransport())
    far.makeConnection(out)
    near.join(far)
    return line, near, out


def test_nothing_overtakes_what_is_delayed(
    clock: Clock, ends: tuple[Line, ProxyEnd, StringTransport]
) -> None:
    line, near, out = ends
    near.dataReceived(b"1")
    line.set_fault(ProxyFault.DELAY)
    near.dataReceived(b"2")
    clock.advance(DELAY_SECONDS / 2)
    line.set_fault(ProxyFault.NONE)
    near.dataReceived(b"3")
    assert out.value() == b"1"
    clock.advance(DELAY_SECONDS)
    assert out.value() == b"123"
    near.dataReceived(b"4")
    assert out.value() == b"1234"
