"""Coordination logic for router fleets with prepaid token budgets.

The package makes the decisions of a router fleet and does no I/O: callers pass in the
time, random numbers and received messages, and carry out the decisions and send the
messages that they get back.
"""

from __future__ import annotations

__version__ = "0.1.0"
