"""Bills, the segments they are written in, and the fold that adds them up."""

from __future__ import annotations
