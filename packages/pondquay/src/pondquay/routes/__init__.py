"""Routes: which service a request is for, and how it may be treated."""

from __future__ import annotations
