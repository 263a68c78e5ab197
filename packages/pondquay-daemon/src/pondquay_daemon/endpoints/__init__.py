"""HTTP endpoints for callers, operators and metrics."""

from __future__ import annotations
