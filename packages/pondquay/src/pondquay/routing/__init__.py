"""Routing, admission, retries: where a request runs, and whether."""

from __future__ import annotations

from pondquay.routing import balanced, prefixes, rotation

__all__ = ["balanced", "prefixes", "rotation"]
