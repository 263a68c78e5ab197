"""The process of the loopback proxy.

Twisted's epoll reactor may report a reset as an orderly close, which the proxy would
pass on. The asyncio reactor reads a socket before it reports its end.
"""

from __future__ import annotations

from twisted.internet import asyncioreactor


def run_proxy() -> None:
    """Run the proxy until the process is ended."""
    asyncioreactor.install()
    from pondquay_standins.soak.proxies import main

    main()


if __name__ == "__main__":
    run_proxy()
