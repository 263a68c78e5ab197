"""Requests: their life from arrival to outcome, and what they can cost."""

from __future__ import annotations
