"""The pondquay entry instance daemon."""

from __future__ import annotations
