"""The command ``pondquayd``."""

from __future__ import annotations

import sys
from argparse import Action, ArgumentParser, Namespace
from pathlib import Path
from signal import SIGINT, SIGTERM, signal
from typing import TYPE_CHECKING, Any

from pondquay.errors import InvalidInputError
from pondquay_daemon.clocks import use_monotonic_clock
from pondquay_daemon.logs import Level, log_event, start_logs
from pondquay_daemon.tasks import spawn

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from pondquay_daemon.settings import Settings

EXIT_INVALID = 2
EXIT_FAILED = 1


class ShowVersion(Action):
    """Prints the version, which is looked up only when requested."""

    def __call__(self, parser: ArgumentParser, *_: object) -> None:
        """Print the version and exit."""
        from importlib.metadata import PackageNotFoundError, version

        try:
            text = version("pondquay-daemon")
        except PackageNotFoundError:
            text = "not installed as a package"
        print(f"{parser.prog} {text}")
        parser.exit()


def make_parser() -> ArgumentParser:
    """Return the parser of the command's arguments."""
    parser = ArgumentParser(
        prog="pondquayd",
        description="An entry instance of a pondquay fleet.",
        epilog="example: pondquayd --settings docs/examples/khuree-a1.ini --check",
    )
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--settings", type=Path, metavar="FILE")
    source.add_argument(
        "--border",
        metavar="MODULE",
        help="run a relay on the platform that this plug-in connects to",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--reports-port",
        type=int,
        metavar="PORT",
        help="with --border: serve /metrics and /dump on this port",
    )
    parser.add_argument(
        "--log-level",
        choices=[level.name.lower() for level in Level],
        default=Level.INFO.name.lower(),
        help="with --border: the lowest level that is logged",
    )
    parser.add_argument(
        "--policy",
        type=Path,
        metavar="FILE",
        help="with --border: file whose [policy] section configures mechanisms",
    )
    parser.add_argument("--version", action=ShowVersion, nargs=0)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until it receives a signal to stop.

    :returns: 0 after a planned stop or a passed check, 1 after a failure, 2 for invalid
        settings
    """
    options = make_parser().parse_args(arguments)
    if options.border is not None:
        from pondquay_daemon.relay.command import RelayOptions, run_relay

        return run_relay(
            RelayOptions(
                options.border,
                options.check,
                options.reports_port,
                options.log_level,
                options.policy,
            )
        )
    return _run_instance(options)


def _run_instance(options: Namespace) -> int:
    from pondquay_daemon.settings import load_settings

    try:
        settings = load_settings(options.settings)
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    if options.check:
        print(f"{options.settings}: ok")
        return 0
    start_logs(settings.logs.level)
    return _run(settings)


def _run(settings: Settings) -> int:
    from pondquay_daemon.reactor import install_reactor

    install_reactor()
    from twisted.internet import reactor

    from pondquay_daemon.application import Application

    use_monotonic_clock(reactor)
    application = Application(reactor, settings)
    status = [EXIT_FAILED]
    untyped_reactor: Any = reactor

    async def start() -> None:
        try:
            await application.start()
        except Exception as error:
            log_event("start-failed", Level.ERROR, error=error)
            untyped_reactor.stop()

    async def stop() -> None:
        status[0] = 0 if await application.stop() else EXIT_FAILED
        untyped_reactor.stop()

    def begin_stop(*_: object) -> None:
        if not application.components.stopping:
            application.components.stopping = True
            untyped_reactor.callFromThread(lambda: spawn(stop(), "Application"))

    def install_signals_and_start() -> Deferred[None]:
        signal(SIGTERM, begin_stop)
        signal(SIGINT, begin_stop)
        return spawn(start(), "Application")

    untyped_reactor.callWhenRunning(install_signals_and_start)
    untyped_reactor.run()
    return status[0]


if __name__ == "__main__":
    sys.exit(main())
