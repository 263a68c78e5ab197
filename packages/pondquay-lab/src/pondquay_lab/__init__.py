"""Simulations, benchmarks and experiments on budgets and routing."""

from __future__ import annotations
