"""Formatting of plans for the terminal."""

from __future__ import annotations

from typing import Any

# Keys that the heading of a change already shows.
HEADING_KEYS = ("kind", "name", "partner")


def format_plan(plan: dict[str, Any]) -> str:
    """Return a plan as text, with a section for each of its changes."""
    lines = [
        f"plan {plan['id']} of {plan['partner']}, made for version {plan['base']}: "
        f"{plan['state']}"
    ]
    if plan["version"] is not None:
        lines.append(f"in force since version {plan['version']}")
    for change in plan["changes"]:
        lines += _format_change(change)
    if not plan["changes"]:
        lines.append("  nothing would change")
    return "\n".join(lines)


def _format_change(change: dict[str, Any]) -> list[str]:
    before, after = change["before"], change["after"]
    entity = after or before
    sign = "+" if before is None else "-" if after is None else "~"
    lines = [f"  {sign} {entity['kind']} {entity['name']} ({entity['partner']})"]
    if after is None:
        return lines
    for key, value in after.items():
        old = None if before is None else before.get(key)
        if key in HEADING_KEYS or old == value:
            continue
        old_text = "" if before is None else f"{old} -> "
        lines.append(f"      {key} = {old_text}{value}")
    return lines
