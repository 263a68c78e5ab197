"""Routing, admission control and retries: the choice of an upstream for a request.

Importing the package registers the routing policies.
"""

from __future__ import annotations

from pondquay.routing import balanced, prefixes, rotation

__all__ = ["balanced", "prefixes", "rotation"]
