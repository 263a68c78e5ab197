"""The commands; importing a command's module registers it."""

from __future__ import annotations

from pondquay_cli.commands import (
    bill,
    budgets,
    confirm,
    drain,
    dump,
    explain,
    losses,
    plan,
    plans,
    relays,
    retries,
    show,
    status,
    upstreams,
)

__all__ = [
    "bill",
    "budgets",
    "confirm",
    "drain",
    "dump",
    "explain",
    "losses",
    "plan",
    "plans",
    "relays",
    "retries",
    "show",
    "status",
    "upstreams",
]
