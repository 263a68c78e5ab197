"""The example program in ``docs/EMBEDDING.md`` prints the documented output."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pytest


PAGE = Path(__file__).parents[3] / "docs" / "EMBEDDING.md"


def test_example_program_prints_documented_output(
    capsys: pytest.CaptureFixture[str],
) -> None:
    program = re.search(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    printed = re.search(r"```text\n(.*?)```", PAGE.read_text(), re.DOTALL)
    assert program is not None
    assert printed is not None
    exec(compile(program[1], str(PAGE), "exec"), {"__name__": "page"})
    assert capsys.readouterr().out == printed[1]
