"""Billing: bills, segments of bills, and their aggregation into the ledger."""

from __future__ import annotations
