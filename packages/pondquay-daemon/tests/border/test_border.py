"""Only the border uses the platform's names, and it contains no policy."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from pondquay_platform import names

ROOT = Path(__file__).parents[4]
PRODUCT_MODULES = sorted(
    path
    for package in ("pondquay", "pondquay-daemon", "pondquay-cli", "pondquay-lab")
    for path in (ROOT / "packages" / package / "src").rglob("*.py")
)
BORDER_MODULES = sorted((ROOT / "platform" / "src").rglob("*.py"))
FIELD_NAMES = ("api_keys", "slo_ms", "rows-", "expected_rev", "since_rev", "itl_target")


def list_platform_names() -> list[str]:
    values = [value for key, value in vars(names).items() if key.isupper()]
    texts = [value.decode() if isinstance(value, bytes) else value for value in values]
    strings = [text for text in texts if isinstance(text, str)]
    # Names that HTTP or the product also uses.
    common = {"Authorization", "Host", "Retry-After", "Last-Event-Id", "bearer"}
    common |= {"op", "config", "servers", "Resumes"}
    return [name for name in strings if name not in common] + [
        "X-Pondquay-",
        # The word is a usual one, so only the header's name as a text is looked for.
        '"Resumes"',
        *FIELD_NAMES,
    ]


@pytest.mark.parametrize("path", PRODUCT_MODULES, ids=lambda path: path.name)
def test_product_contains_no_platform_names(path: Path) -> None:
    text = path.read_text().lower()
    assert [name for name in list_platform_names() if name.lower() in text] == []


def test_product_never_imports_the_border() -> None:
    assert PRODUCT_MODULES
    for path in PRODUCT_MODULES:
        assert "pondquay_platform" not in path.read_text(), path


@pytest.mark.parametrize("path", BORDER_MODULES, ids=lambda path: path.name)
def test_border_imports_no_policy(path: Path) -> None:
    """Guards against policy code, clocks and random numbers in the border."""
    tree = ast.parse(path.read_text())
    imported = {
        node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)
    } | {
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.Import)
        for alias in node.names
    }
    policy_modules = (
        "random",
        "time",
        "pondquay.budgets",
        "pondquay_daemon.relay.requests",
        "pondquay_daemon.relay.admission",
    )
    policy_modules += ("pondquay_daemon.relay.placement", "pondquay.routing.rendezvous")
    policy_modules += ("pondquay.routing.retryshares", "pondquay.routing.circuits")
    assert [name for name in imported if name.startswith(policy_modules)] == []


def test_platform_directory_is_not_a_package() -> None:
    """Guards against shadowing the standard library's module ``platform``."""
    assert not (ROOT / "platform" / "__init__.py").exists()
