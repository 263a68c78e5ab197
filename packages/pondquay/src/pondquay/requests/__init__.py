"""Requests: their lifecycle, identity and maximum cost."""

from __future__ import annotations
