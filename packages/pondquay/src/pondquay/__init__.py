"""Coordination parts for router fleets with prepaid token budgets.

The package holds the decisions of a router fleet and none of its sockets: time,
randomness and messages come in, decisions and messages go out.
"""

from __future__ import annotations

__version__ = "0.1.0"
