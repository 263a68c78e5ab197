"""Keep-alive probes on connections that may be silent for long."""

from __future__ import annotations

from socket import IPPROTO_TCP, TCP_KEEPCNT, TCP_KEEPIDLE, TCP_KEEPINTVL
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.tcp import Connection

# A dead peer is noticed after IDLE_SECONDS + PROBES * INTERVAL_SECONDS.
IDLE_SECONDS = 2
INTERVAL_SECONDS = 1
PROBES = 3


def enable_keep_alive(transport: Connection) -> None:
    """Let the kernel close a connection whose other end no longer responds.

    ``TCP_USER_TIMEOUT`` must not be set on it, since it would replace the limit on the
    number of probes.
    """
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    handle.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, IDLE_SECONDS)
    handle.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, INTERVAL_SECONDS)
    handle.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, PROBES)
