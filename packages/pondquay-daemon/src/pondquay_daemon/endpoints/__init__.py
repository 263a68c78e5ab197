"""The endpoints: HTTP for callers, for operators and for metrics."""

from __future__ import annotations
