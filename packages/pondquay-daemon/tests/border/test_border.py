"""The platform's names stay here, and nothing here decides."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from pondquay_platform import names

ROOT = Path(__file__).parents[4]
PRODUCT = sorted(
    path
    for package in ("pondquay", "pondquay-daemon", "pondquay-cli", "pondquay-lab")
    for path in (ROOT / "packages" / package / "src").rglob("*.py")
)
BORDER = sorted((ROOT / "platform" / "src").rglob("*.py"))
FIELDS = ("api_keys", "slo_ms", "rows-", "expected_rev", "since_rev", "itl_target")


def platform_names() -> list[str]:
    values = [value for key, value in vars(names).items() if key.isupper()]
    texts = [value.decode() if isinstance(value, bytes) else value for value in values]
    own = [one for one in texts if isinstance(one, str)]
    # Names that HTTP or the product have too.
    common = {"Authorization", "Host", "Retry-After", "Last-Event-Id", "bearer"}
    common |= {"op", "config", "servers"}
    return [one for one in own if one not in common] + ["X-Pondquay-", *FIELDS]


@pytest.mark.parametrize("path", PRODUCT, ids=lambda path: path.name)
def test_no_name_of_the_platform_stands_outside(path: Path) -> None:
    text = path.read_text().lower()
    assert [one for one in platform_names() if one.lower() in text] == []


def test_the_product_never_imports_the_border() -> None:
    assert PRODUCT
    for path in PRODUCT:
        assert "pondquay_platform" not in path.read_text(), path


@pytest.mark.parametrize("path", BORDER, ids=lambda path: path.name)
def test_nothing_of_the_policy_is_used_here(path: Path) -> None:
    """What decides is neither imported nor timed nor drawn at random here."""
    tree = ast.parse(path.read_text())
    imported = {
        node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)
    } | {
        one.name
        for node in ast.walk(tree)
        if isinstance(node, ast.Import)
        for one in node.names
    }
    deciding = (
        "random",
        "time",
        "pondquay.budgets",
        "pondquay_daemon.relay.requests",
        "pondquay_daemon.relay.admission",
    )
    deciding += ("pondquay_daemon.relay.placement", "pondquay.routing.rendezvous")
    deciding += ("pondquay.routing.retryshares", "pondquay.routing.circuits")
    assert [one for one in imported if one.startswith(deciding)] == []


def test_the_standard_library_keeps_its_module() -> None:
    assert not (ROOT / "platform" / "__init__.py").exists()
