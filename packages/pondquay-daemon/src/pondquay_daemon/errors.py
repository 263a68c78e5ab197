"""Exceptions of the daemon."""

from __future__ import annotations


class DaemonError(Exception):
    """Base of every error that the daemon raises."""


class NotSentError(DaemonError):
    """No byte of a call was written: it certainly did not run."""


class MayHaveRunError(DaemonError):
    """A call was written, at least in part, and its outcome is not known."""


class RefusedError(DaemonError):
    """An upstream refused a call before it started.

    :param status: the HTTP status of the refusal
    :param backoff: seconds for which the upstream wants no other call of this instance
    """

    def __init__(self, status: int, backoff: float = 0.0) -> None:
        super().__init__(f"refused with status {status}")
        self.status = status
        self.backoff = backoff


class LinkError(DaemonError):
    """A peer broke the rules of the link or cannot be reached."""
