"""Errors of experiments."""

from __future__ import annotations


class ExperimentError(Exception):
    """Base of all errors of experiments."""


class CheckoutError(ExperimentError):
    """A variant's checkout could not be made."""


class PlayError(ExperimentError):
    """A day was not played to its end, or its report cannot be read."""
