"""Membership: which instances and upstreams there are, from lagging sources."""

from __future__ import annotations
