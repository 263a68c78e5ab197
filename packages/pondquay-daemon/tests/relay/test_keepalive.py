"""The kernel notices that the other end of a tunnel is gone."""

from __future__ import annotations

import socket
from unittest.mock import Mock

from pondquay_daemon.relay.keepalive import (
    IDLE_SECONDS,
    INTERVAL_SECONDS,
    PROBES,
    enable_keep_alive,
)


# Guards against a user timeout, which would decide when probes give up.
def test_probes_are_sent_and_no_user_timeout_is_set() -> None:
    with socket.socket() as handle:
        transport = Mock()
        transport.getHandle.return_value = handle
        enable_keep_alive(transport)
        transport.setTcpKeepAlive.assert_called_once_with(True)
        options = (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
            socket.TCP_USER_TIMEOUT,
        )
        values = [handle.getsockopt(socket.IPPROTO_TCP, option) for option in options]
        assert values == [IDLE_SECONDS, INTERVAL_SECONDS, PROBES, 0]
