"""Claims: what makes a request that is not repeatable run at most once."""

from __future__ import annotations
