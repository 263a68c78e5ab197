"""Configuration: entities, intents, plans and versions."""

from __future__ import annotations
