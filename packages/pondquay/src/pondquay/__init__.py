"""Coordination logic for router fleets with prepaid token budgets.

The package makes the decisions of a router fleet and does no I/O. Callers pass in the
time, random numbers and received messages; they carry out the returned decisions and
send the returned messages.
"""

from __future__ import annotations

__version__ = "0.1.0"
