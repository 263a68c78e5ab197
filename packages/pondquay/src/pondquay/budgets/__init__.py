"""Prepaid budgets: grants with their witnesses, allotments, and their stored rows."""

from __future__ import annotations

# Importing this module registers the grant policies.
from pondquay.budgets import sizing

__all__ = ["sizing"]
