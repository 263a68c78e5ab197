from __future__ import annotations

import socket

import pytest

from pondquay_standins.processes import HOST, PORTS_PER_BLOCK, PortPicker, wait_until


def test_two_pickers_never_pick_the_same_port() -> None:
    pickers = [PortPicker(), PortPicker()]
    first, second = (
        {picker.pick() for _ in range(PORTS_PER_BLOCK)} for picker in pickers
    )
    assert first
    assert second
    assert first.isdisjoint(second)


def test_a_port_in_use_is_not_picked() -> None:
    picker = PortPicker()
    used = picker.pick()
    with socket.socket() as listener:
        listener.bind((HOST, used))
        picked = {picker.pick() for _ in range(PORTS_PER_BLOCK)}
    assert used not in picked


def test_a_timeout_error_contains_the_description() -> None:
    with pytest.raises(TimeoutError, match="the platform: condition not met"):
        wait_until(lambda: False, "the platform", seconds=0.0)
