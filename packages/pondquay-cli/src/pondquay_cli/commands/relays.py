"""``pondquay relays URL...``: what relays know of the platform, side by side."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pondquay_cli.commands.base import COMMANDS, CommandResult, ReportsCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient

COLUMNS = (
    "instance",
    "domain",
    "ready",
    "configuration",
    "store",
    "peers",
    "emptied",
    "malformed",
    "refused",
)


@COMMANDS.register("relays")
class RelaysCommand(ReportsCommand):
    """Shows what each relay knows of configuration, domains, rows and crashes."""

    help = "show what relays know: configuration, emptied domains, unusable rows"
    example = "pondquay relays http://10.1.0.40:9464 http://10.2.0.29:9464"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the relays' addresses."""
        parser.add_argument(
            "reports",
            metavar="URL",
            nargs="+",
            help="where a relay serves its reports (--reports-port)",
        )

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Show it; relays that do not answer are left out."""
        dumps = await client.list_responses("/dump")
        rows = [summarize(one) for one in dumps]
        text = format_table(COLUMNS, rows)
        return CommandResult(rows, "\n".join([text, *list_malformed(dumps)]))


def summarize(dump: dict[str, Any]) -> dict[str, Any]:
    """Return one relay's line."""
    return {
        "instance": dump["instance"],
        "domain": dump["domain"],
        "ready": dump["ready"],
        "configuration": dump["configuration"],
        "store": "answers" if dump["store"]["reachable"] else "does not answer",
        "peers": len(dump["peers"]),
        "emptied": dump["emptied"] or None,
        "malformed": len(dump["malformed"]) or None,
        "refused": len(dump["crashes"]) or None,
    }


def list_malformed(dumps: list[dict[str, Any]]) -> list[str]:
    """Return a line for each row that some relay cannot use."""
    wrong: dict[str, str] = {}
    for dump in dumps:
        wrong.update(dump["malformed"])
    return [f"row {row}: {error}" for row, error in sorted(wrong.items())]
