"""Configuration: entities, intents, plans, and the versions that are in force."""

from __future__ import annotations
