"""The command ``python -m pondquay_standins.fleetcommand``.

It starts a fleet, writes ``var/fleet.json`` and keeps the fleet up until interrupted.
"""

from __future__ import annotations

import json
import signal
from pathlib import Path

from pondquay_standins.fleet import Fleet
from pondquay_standins.workspaces import configure_workspaces


def main() -> None:
    """Start a fleet and keep it up until interrupted."""
    var = Path("var")
    var.mkdir(exist_ok=True)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with Fleet() as fleet:
        content = fleet.describe(configure_workspaces(fleet))
        (var / "fleet.json").write_text(json.dumps(content, indent=2) + "\n")
        print("the fleet is up; see var/fleet.json; interrupt to end it", flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            print("ending the fleet")


if __name__ == "__main__":
    main()
