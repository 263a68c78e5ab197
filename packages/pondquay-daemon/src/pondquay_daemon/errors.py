"""Exceptions of the daemon."""

from __future__ import annotations


class DaemonError(Exception):
    """Base class of the exceptions in this module."""


class NotSentError(DaemonError):
    """No byte of a call was written, so it cannot have run."""


class MayHaveRunError(DaemonError):
    """A call was written, at least in part, and its outcome is unknown."""


class RefusedError(DaemonError):
    """An upstream refused a call before it started.

    :param status: the HTTP status of the refusal
    :param backoff: seconds for which this instance must not call the upstream again
    """

    def __init__(self, status: int, backoff: float = 0.0) -> None:
        super().__init__(f"refused with status {status}")
        self.status = status
        self.backoff = backoff


class LinkError(DaemonError):
    """A peer violated the link protocol or cannot be reached."""
