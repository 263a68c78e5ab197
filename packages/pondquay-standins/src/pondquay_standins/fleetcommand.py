"""Command that runs a fleet: ``python -m pondquay_standins.fleetcommand``.

The command starts a fleet, writes its addresses and keys to ``var/fleet.json`` and
keeps it up until it is interrupted.
"""

from __future__ import annotations

import json
import signal
from pathlib import Path

from pondquay_standins.fleet import Fleet
from pondquay_standins.workspaces import configure_workspaces


def main() -> None:
    """Start a fleet and keep it up until the command is interrupted."""
    var = Path("var")
    var.mkdir(exist_ok=True)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with Fleet() as fleet:
        content = fleet.describe(configure_workspaces(fleet))
        (var / "fleet.json").write_text(json.dumps(content, indent=2) + "\n")
        print("the fleet is up, see var/fleet.json; interrupt to stop it", flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            print("stopping the fleet")


if __name__ == "__main__":
    main()
