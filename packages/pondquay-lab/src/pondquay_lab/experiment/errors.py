"""Exceptions of experiments."""

from __future__ import annotations


class ExperimentError(Exception):
    """Base class of all errors of experiments."""


class CheckoutError(ExperimentError):
    """A variant's checkout could not be created."""


class DayRunError(ExperimentError):
    """The bench wrote no report for a day, or an invalid one."""
