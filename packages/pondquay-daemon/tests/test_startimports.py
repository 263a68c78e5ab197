"""What a relay imports when it starts.

A relay is restarted often, and its imports are most of the processor time of a start.
"""

from __future__ import annotations

import subprocess
import sys

MODULES = (
    "pondquay_daemon.__main__",
    "pondquay_daemon.relay.command",
    "pondquay_daemon.relay.relay",
)
# Used only with certain options or for the messages of errors.
UNUSED = ("configparser", "difflib", "importlib.metadata", "pydantic", "treq")


def test_a_relay_imports_nothing_that_only_options_or_errors_need() -> None:
    # What the interpreter itself has loaded does not count.
    lines = [f"import {module}" for module in MODULES]
    lines.insert(0, "import sys; before = set(sys.modules)")
    lines.append("print(*(set(sys.modules) - before))")
    done = subprocess.run(
        [sys.executable, "-c", "\n".join(lines)],
        check=True,
        capture_output=True,
        text=True,
    )
    imported = set(done.stdout.split())
    assert "pondquay_daemon.relay.relay" in imported
    assert not imported & set(UNUSED)
