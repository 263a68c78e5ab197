"""Base classes of commands, and the registry of commands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar

from pondquay.registry import Registry

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The output and exit status of a command.

    :param content: value that ``--json`` writes
    :param text: text that is printed without ``--json``
    :param status: exit status
    """

    content: Any
    text: str
    status: int = 0


class Command(ABC):
    """Base class of commands.

    :cvar help: one-line description for the help text
    :cvar example: example command line for the help text
    """

    help: ClassVar[str]
    example: ClassVar[str]

    def add_arguments(self, parser: ArgumentParser) -> None:  # noqa: B027
        """Add the command's arguments, if it takes any."""


class OperatorCommand(Command):
    """A command that calls operator endpoints."""

    @abstractmethod
    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Run the command and return its result.

        :raises CommandError: if the command fails
        """


class ReportsCommand(Command):
    """A command that reads reports of the relays whose URLs are its arguments."""

    @abstractmethod
    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Run the command and return its result.

        :raises CommandError: if the command fails
        """


class LocalCommand(Command):
    """A command that makes no network calls."""

    @abstractmethod
    def run(self, options: Namespace) -> CommandResult:
        """Run the command and return its result.

        :raises CommandError: if the command fails
        """


COMMANDS: Registry[OperatorCommand | ReportsCommand | LocalCommand] = Registry(
    "command"
)
