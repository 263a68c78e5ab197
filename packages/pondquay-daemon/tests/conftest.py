from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture
def settings_text(tmp_path: Path) -> str:
    """Return valid settings."""
    key = tmp_path / "fleet.key"
    key.write_text("0123456789abcdef")
    return "\n".join(
        [
            "[instance]",
            "name = entry-1",
            "domain = hall-a",
            "[listen]",
            "callers = 127.0.0.1:1",
            "operators = 127.0.0.1:2",
            "peers = 127.0.0.1:3",
            "metrics = 127.0.0.1:4",
            "[platform]",
            "url = http://127.0.0.1:5",
            "[fleet]",
            f"key_file = {key}",
        ]
    )


@pytest.fixture
def closed_url() -> Iterator[str]:
    """Return the URL of a port that refuses connections."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{unused.getsockname()[1]}"
