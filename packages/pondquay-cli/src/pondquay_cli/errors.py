"""Exit statuses of the command line, and exceptions that map to them."""

from __future__ import annotations

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3
EXIT_CONSENT_MISSING = 4


class CommandError(Exception):
    """Base class of errors that end a command.

    :cvar status: the command's exit status
    """

    status = EXIT_REFUSED


class RefusedError(CommandError):
    """The operator endpoint refused the request."""


class InvalidUsageError(CommandError):
    """An argument, a key or an intent is not valid."""

    status = EXIT_INVALID


class UnreachableError(CommandError):
    """No operator endpoint responded, or none could handle the request."""

    status = EXIT_UNREACHABLE
