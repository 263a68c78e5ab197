"""The command ``pondquay``."""

from __future__ import annotations

import json
import os
import sys
from argparse import ArgumentParser, Namespace, RawDescriptionHelpFormatter
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet import task

from pondquay_cli import commands
from pondquay_cli.client import OperatorClient
from pondquay_cli.commands.base import COMMANDS, LocalCommand, ReportsCommand
from pondquay_cli.errors import CommandError, InvalidUsageError

if TYPE_CHECKING:
    from collections.abc import Coroutine

OPERATORS_VARIABLE = "PONDQUAY_OPERATORS"
KEY_FILE_VARIABLE = "PONDQUAY_KEY_FILE"
EXIT_STATUS_HELP = """exit status: 0 done; 1 refused; 2 invalid arguments or intent;
3 no operator endpoint could handle the request; 4 confirmed, but another partner's
consent is missing"""

__all__ = ["commands", "main"]


def make_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(
        prog="pondquay",
        description="Operate a pondquay fleet.",
        epilog=EXIT_STATUS_HELP,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--operator",
        action="append",
        metavar="URL",
        help=f"an operator endpoint; may be repeated (or ${OPERATORS_VARIABLE})",
    )
    parser.add_argument(
        "--key-file",
        type=Path,
        metavar="FILE",
        help=f"file with the partner's operator key (or ${KEY_FILE_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="write JSON")
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in COMMANDS.names():
        command = COMMANDS.create(name)
        subparser = subparsers.add_parser(
            name, help=command.help, epilog=f"example: {command.example}"
        )
        command.add_arguments(subparser)
    return parser


def make_client(reactor: Any, options: Namespace) -> OperatorClient:
    """Return a client for the endpoints and the key from options or environment.

    :raises InvalidUsageError: if no endpoint or no readable key file is configured
    """
    urls = options.operator or os.environ.get(OPERATORS_VARIABLE, "").split()
    if not urls:
        raise InvalidUsageError(f"give --operator URL or set {OPERATORS_VARIABLE}")
    key_file = options.key_file or os.environ.get(KEY_FILE_VARIABLE)
    if not key_file:
        raise InvalidUsageError(f"give --key-file FILE or set {KEY_FILE_VARIABLE}")
    try:
        key = Path(key_file).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise InvalidUsageError(f"{key_file}: {error.strerror}") from error
    return OperatorClient(reactor, urls, key)


async def run_command(reactor: Any, options: Namespace) -> int:
    """Run the selected command and return its exit status."""
    try:
        command = COMMANDS.create(options.command)
        if isinstance(command, LocalCommand):
            result = command.run(options)
        elif isinstance(command, ReportsCommand):
            # Relay reports are public, so the key is empty.
            result = await command.run(
                OperatorClient(reactor, options.reports, ""), options
            )
        else:
            result = await command.run(make_client(reactor, options), options)
    except CommandError as error:
        print(f"pondquay: {error}", file=sys.stderr)
        return error.status
    print(json.dumps(result.content) if options.json else result.text)
    return result.status


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit with the command's status."""
    options = make_parser().parse_args(arguments)

    def start(reactor: Any) -> Coroutine[Any, Any, None]:
        async def run() -> None:
            status = await run_command(reactor, options)
            if status:
                raise SystemExit(status)

        return run()

    task.react(start)


if __name__ == "__main__":
    main()
