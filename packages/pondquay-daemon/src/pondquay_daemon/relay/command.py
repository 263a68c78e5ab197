"""Runs a relay as a process."""

from __future__ import annotations

import gc
import sys
from dataclasses import dataclass, replace
from importlib import import_module
from signal import SIGHUP, SIGINT, SIGTERM, signal
from typing import TYPE_CHECKING, Any

from pondquay.addresses import Address
from pondquay.errors import InvalidInputError
from pondquay_daemon.clocks import use_monotonic_clock
from pondquay_daemon.logs import Level, log_event, start_logs
from pondquay_daemon.reactor import install_reactor
from pondquay_daemon.relay.border import BORDERS
from pondquay_daemon.tasks import spawn

if TYPE_CHECKING:
    from pathlib import Path

    from pondquay_daemon.relay.relay import Relay

EXIT_INVALID = 2


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Command-line options of a relay.

    :param border: module that registers a border under its own name
    :param check: check the settings and exit
    :param reports_port: port of metrics and state dumps, ``None`` for none
    :param policy: file that overrides the default policy
    """

    border: str
    check: bool = False
    reports_port: int | None = None
    log_level: str = "info"
    policy: Path | None = None


def run_relay(options: RelayOptions) -> int:
    """Run a relay until a signal stops it.

    :returns: 0 after a graceful stop or a successful check, 2 for invalid settings
    """
    import_module(options.border)
    border = BORDERS.create(options.border)
    try:
        settings = border.read_settings()
        if options.policy is not None:
            from pondquay_daemon.relay.policyfile import load_policy

            settings = replace(settings, policy=load_policy(options.policy))
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    if options.check:
        print(f"{settings.instance}: ok")
        return 0
    line_budget = start_logs(options.log_level)
    if options.reports_port is not None:
        reports = Address(settings.callers.host, options.reports_port)
        settings = replace(settings, reports=reports)

    install_reactor()
    from twisted.internet import reactor

    from pondquay_daemon.relay.metrics import RelayMetrics
    from pondquay_daemon.relay.relay import Relay

    untyped_reactor: Any = reactor
    use_monotonic_clock(untyped_reactor)
    relay = Relay(reactor, border, settings, RelayMetrics(line_budget.total_suppressed))
    untyped_reactor.callWhenRunning(lambda: _begin(untyped_reactor, relay))
    untyped_reactor.run()
    return 0


def _begin(reactor: Any, relay: Relay) -> None:
    async def stop() -> None:
        await relay.stop()
        reactor.stop()

    def begin_stop(*_: object) -> None:
        if not relay.stopping:
            reactor.callFromThread(lambda: spawn(stop(), "Relay"))

    def note_reload(*_: object) -> None:
        # Settings are read only at the start, so changes are not applied.
        reactor.callFromThread(log_event, "settings-changed", Level.INFO)

    signal(SIGTERM, begin_stop)
    signal(SIGINT, begin_stop)
    signal(SIGHUP, note_reload)
    relay.start()
    # Not preceded by a collection: imports leave next to nothing to collect.
    gc.freeze()
