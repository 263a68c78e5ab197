"""Guards against import cycles between modules, including type-only imports."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parents[3]


def list_modules() -> dict[str, Path]:
    """Return the paths of all modules of the repository by name."""
    sources = [*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"]
    modules = {}
    for source in sources:
        for path in source.rglob("*.py"):
            parts = path.relative_to(source).with_suffix("").parts
            name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
            modules[name] = path
    return modules


def list_imports(path: Path) -> set[str]:
    """Return the names that a module imports, also inside functions and conditions."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def test_there_are_no_import_cycles() -> None:
    modules = list_modules()
    assert len(modules) > 100
    graph = {
        name: list_imports(path) & set(modules) - {name}
        for name, path in modules.items()
    }
    TopologicalSorter(graph).prepare()
