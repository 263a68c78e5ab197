"""Exceptions of the command line, each with the exit status it leads to."""

from __future__ import annotations

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3
EXIT_CONSENT_MISSING = 4


class CommandError(Exception):
    """Base of every error that ends a command.

    :cvar status: the command's exit status
    """

    status = EXIT_REFUSED


class RefusedError(CommandError):
    """The operator endpoint refused."""


class InvalidUsageError(CommandError):
    """An argument, a key or an intent is not valid."""

    status = EXIT_INVALID


class UnreachableError(CommandError):
    """No operator endpoint answered, or none could do it now."""

    status = EXIT_UNREACHABLE
