"""Checkouts of the variants' revisions, with the variants' policies applied."""

from __future__ import annotations

import subprocess
import tomllib
from typing import TYPE_CHECKING

from pondquay_lab.experiment.errors import CheckoutError

if TYPE_CHECKING:
    from pathlib import Path

    from pondquay_lab.experiment.plans import Variant

POLICY_FILE = "policy.ini"
DEPLOY_FILE = "deploy/system.toml"


def make_checkout(repository: Path, variant: Variant, folder: Path) -> Path:
    """Return the checkout of a variant, creating it if it does not exist.

    :param folder: folder of all checkouts
    :raises CheckoutError: if the checkout cannot be created
    """
    checkout = folder / variant.name
    if not checkout.exists():
        _run_git("clone", "-q", "--shared", str(repository), str(checkout))
        revision = _run_git("-C", str(repository), "rev-parse", variant.revision)
        _run_git("-C", str(checkout), "checkout", "-q", revision.strip())
        if variant.policy:
            _set_policy(checkout, variant)
    return checkout


def _run_git(*arguments: str) -> str:
    process = subprocess.run(
        ["git", *arguments], capture_output=True, text=True, check=False
    )
    if process.returncode:
        raise CheckoutError(f"git: {process.stderr.strip()}")
    return process.stdout


def _set_policy(checkout: Path, variant: Variant) -> None:
    """Write the policy file and pass it to all roles of the deployment."""
    lines = ["[policy]", *(f"{key} = {value}" for key, value in variant.policy.items())]
    (checkout / POLICY_FILE).write_text("\n".join(lines) + "\n")
    path = checkout / DEPLOY_FILE
    text = path.read_text()
    for role in tomllib.loads(text)["roles"].values():
        command = role["run"]
        text = text.replace(f'"{command}"', f'"{command} --policy {POLICY_FILE}"')
    path.write_text(text)
