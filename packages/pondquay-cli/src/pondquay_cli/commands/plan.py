"""``pondquay plan FILE.ini``: turn an intent into a plan."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from pondquay.configuration.intents import read_intent
from pondquay.errors import InvalidInputError
from pondquay_cli.commands.base import COMMANDS, CommandResult, OperatorCommand
from pondquay_cli.errors import InvalidUsageError
from pondquay_cli.plantext import format_plan

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient


@COMMANDS.register("plan")
class PlanCommand(OperatorCommand):
    """States an intent; nothing takes effect."""

    help = "state an intent and see the plan of what it would change"
    example = "pondquay plan captions.ini"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the file's name."""
        parser.add_argument("file", type=Path, metavar="FILE.ini")

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Read the file, have the plan made, and show it.

        :raises CommandError: with all findings in the file
        """
        path: Path = options.file
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise InvalidUsageError(f"{path}: cannot be read: {error}") from error
        partner = (await client.get("/status"))["partner"]
        try:
            intent = read_intent(text, str(path), partner)
        except InvalidInputError as error:
            raise InvalidUsageError(str(error)) from error
        body = {
            "wanted": [one.model_dump(mode="json") for one in intent.entities],
            "removed": list(intent.removed),
        }
        plan = await client.post("/plans", body)
        hint = f"\nto put it in force: pondquay confirm {plan['id']}"
        return CommandResult(plan, format_plan(plan) + hint)
