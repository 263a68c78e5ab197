"""Prepaid budgets: grants, the witnesses of grants, and their rows in the table."""

from __future__ import annotations

from pondquay.budgets import sizing

__all__ = ["sizing"]
