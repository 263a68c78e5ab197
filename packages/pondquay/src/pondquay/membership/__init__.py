"""Membership: peers, leases of fleet-wide tasks and drained upstreams."""

from __future__ import annotations
