"""``pondquay relays URL...``: show the state of several relays side by side."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from pondquay_cli.commands.base import COMMANDS, CommandResult, ReportsCommand
from pondquay_cli.output import format_table

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from pondquay_cli.client import OperatorClient

# "emptied" shows evacuated domains, "refused" the number of request contents that are
# refused because upstreams crashed while they ran them, and "software" the number of
# upstreams of each service and version.
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
    "software",
)


@COMMANDS.register("relays")
class RelaysCommand(ReportsCommand):
    """Show each relay's configuration, connections, evacuations and malformed rows."""

    help = "show relays' configuration, evacuated domains and malformed rows"
    example = "pondquay relays http://10.1.0.40:9464 http://10.2.0.29:9464"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the argument for the relays' URLs."""
        parser.add_argument(
            "reports",
            metavar="URL",
            nargs="+",
            help="the URL at which a relay serves its reports (--reports-port)",
        )

    async def run(self, client: OperatorClient, options: Namespace) -> CommandResult:
        """Return a row for each relay that responds, and all malformed rows."""
        dumps = await client.list_responses("/dump")
        rows = [summarize(dump) for dump in dumps]
        text = format_table(COLUMNS, rows)
        return CommandResult(rows, "\n".join([text, *list_malformed(dumps)]))


def summarize(dump: dict[str, Any]) -> dict[str, Any]:
    """Return the table row of one relay."""
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
        "software": count_software(dump["upstreams"]),
    }


def count_software(upstreams: list[dict[str, Any]]) -> str | None:
    """Return the number of upstreams that have not left, by service and version.

    Relays of earlier builds do not report versions.
    """
    counts = Counter(
        f"{upstream['service']} {upstream['software']}"
        for upstream in upstreams
        if "software" in upstream and not upstream["left"]
    )
    return ", ".join(f"{key}: {counts[key]}" for key in sorted(counts)) or None


def list_malformed(dumps: list[dict[str, Any]]) -> list[str]:
    """Return a line for each stored row that a relay cannot parse, with the error."""
    malformed: dict[str, str] = {}
    for dump in dumps:
        malformed.update(dump["malformed"])
    return [f"row {row}: {error}" for row, error in sorted(malformed.items())]
