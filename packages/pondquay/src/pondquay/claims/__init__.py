"""Claims, which ensure that a request that is not repeatable runs at most once."""

from __future__ import annotations
