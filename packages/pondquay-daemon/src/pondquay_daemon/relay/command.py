"""The relay as a process."""

from __future__ import annotations

import gc
import sys
from importlib import import_module
from signal import SIGHUP, SIGINT, SIGTERM, signal
from time import monotonic
from typing import TYPE_CHECKING, Any

from pondquay.errors import InvalidInputError
from pondquay_daemon.logs import Level, log_event, start_logs
from pondquay_daemon.relay.border import BORDERS
from pondquay_daemon.tasks import spawn

if TYPE_CHECKING:
    from pondquay_daemon.relay.relay import Relay

EXIT_INVALID = 2


def run_relay(plugin: str, *, check: bool) -> int:
    """Run a relay until it is told to stop.

    :param plugin: module that registers a border under its own name
    :param check: only check the settings
    :returns: 0 after a planned stop, 2 for invalid settings
    """
    import_module(plugin)
    border = BORDERS.create(plugin)
    try:
        settings = border.read_settings()
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    if check:
        print(f"{settings.instance}: ok")
        return 0
    start_logs("info", sys.stdout)

    from twisted.internet import reactor

    from pondquay_daemon.relay.relay import Relay

    anyreactor: Any = reactor
    # The reactor's own clock is the time of day, which may jump.
    anyreactor.seconds = monotonic
    relay = Relay(reactor, border, settings)
    anyreactor.callWhenRunning(lambda: _begin(anyreactor, relay))
    anyreactor.run()
    return 0


def _begin(reactor: Any, relay: Relay) -> None:
    async def stop() -> None:
        await relay.stop()
        reactor.stop()

    def begin_stop(*_: object) -> None:
        if not relay.stopping:
            reactor.callFromThread(lambda: spawn(stop(), "Relay"))

    def note_reload(*_: object) -> None:
        reactor.callFromThread(log_event, "settings-changed", Level.INFO)

    signal(SIGTERM, begin_stop)
    signal(SIGINT, begin_stop)
    signal(SIGHUP, note_reload)
    relay.start()
    gc.collect()
    gc.freeze()
