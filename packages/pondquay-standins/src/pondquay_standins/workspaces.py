"""The default workspaces of a fleet and their configuration."""

from __future__ import annotations

from secrets import token_hex
from typing import TYPE_CHECKING, Any

from pondquay_standins.names import MODEL, SERVICE, digest

if TYPE_CHECKING:
    from pondquay_standins.fleet import Fleet

LARGE_BUDGET_TOKENS = 2_000_000
SMALL_BUDGET_TOKENS = 40


def make_workspace(name: str, key: str, tokens: int) -> list[dict[str, Any]]:
    """Return the entities of a workspace and its budget."""
    return [
        {"kind": "workspace", "name": name, "key_digest": digest(key)},
        {"kind": "budget", "name": name, "tokens": tokens},
    ]


def make_shared_entities() -> list[dict[str, Any]]:
    """Return the entities of the model and the service that all workspaces use."""
    return [
        {"kind": "model", "name": MODEL, "output_limit": 512, "versions": {"v1": 100}},
        {"kind": "service", "name": SERVICE, "price": 5},
    ]


WORKSPACES = (
    ("captions", "khuree", LARGE_BUDGET_TOKENS),
    ("verification", "khuree", LARGE_BUDGET_TOKENS),
    ("rosters", "lima", LARGE_BUDGET_TOKENS),
    ("trial", "lima", SMALL_BUDGET_TOKENS),
)


def configure_workspaces(fleet: Fleet) -> list[dict[str, Any]]:
    """Configure the default workspaces and return them with their keys."""
    described = []
    for name, partner, tokens in WORKSPACES:
        key = f"sk-{name}-{token_hex(8)}"
        entities = make_workspace(name, key, tokens)
        if name == WORKSPACES[0][0]:
            entities += make_shared_entities()
        version = fleet.configure(partner, *entities)
        fleet.wait_for_version(version)
        described.append(
            {"name": name, "partner": partner, "key": key, "budget_tokens": tokens}
        )
    return described
