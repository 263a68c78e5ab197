"""Names and keys that the stand-ins and their users share."""

from __future__ import annotations

from hashlib import sha256

MODEL = "judge"
SERVICE = "ranking"


def digest(key: str) -> str:
    """Return the digest by which a key is known."""
    return "sha256:" + sha256(key.encode()).hexdigest()
