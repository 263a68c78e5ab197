"""Names and key digests shared by the stand-ins and their users."""

from __future__ import annotations

from hashlib import sha256

MODEL = "judge"
SERVICE = "ranking"


def digest(key: str) -> str:
    """Return the digest that identifies a key."""
    return "sha256:" + sha256(key.encode()).hexdigest()
