"""Experiments and measurements on the decisions, in virtual time."""

from __future__ import annotations
