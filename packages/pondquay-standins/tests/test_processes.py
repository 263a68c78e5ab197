from __future__ import annotations

import socket

import pytest

from pondquay_standins.processes import HOST, PORTS_PER_BLOCK, PortPicker, wait_until


def test_two_that_pick_ports_never_pick_the_same() -> None:
    pickers = [PortPicker(), PortPicker()]
    first, second = ({one.pick() for _ in range(PORTS_PER_BLOCK)} for one in pickers)
    assert first
    assert second
    assert first.isdisjoint(second)


def test_a_port_that_is_taken_is_not_picked() -> None:
    picker = PortPicker()
    taken = picker.pick()
    with socket.socket() as listening:
        listening.bind((HOST, taken))
        picked = {picker.pick() for _ in range(PORTS_PER_BLOCK)}
    assert taken not in picked


def test_what_does_not_come_is_named() -> None:
    with pytest.raises(TimeoutError, match="the platform: condition not met"):
        wait_until(lambda: False, "the platform", seconds=0.0)
