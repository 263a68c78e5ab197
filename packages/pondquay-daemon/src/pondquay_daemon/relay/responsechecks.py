"""Checks of responses to attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.logs import Level, log_event
from pondquay_daemon.relay.heads import ends_with_connection

if TYPE_CHECKING:
    from pondquay_daemon.relay.exchanges import Exchange
    from pondquay_daemon.relay.messages import ResponseHead, ResponseMetadata
    from pondquay_daemon.relay.streamprogress import StreamProgress


def log_mismatch(
    attempt: str,
    exchange: Exchange | None,
    head: ResponseHead,
    metadata: ResponseMetadata,
) -> None:
    """Log a response to another request than that of an attempt."""
    log_event(
        "response-mismatched",
        Level.WARNING,
        request=attempt,
        responds_to=metadata.attempt,
        status=head.status,
        not_run=metadata.not_run,
        misdirected=metadata.misdirected,
        connection_reused=exchange is not None and exchange.reused,
    )


def is_cut_off(head: ResponseHead, progress: StreamProgress, *, is_empty: bool) -> bool:
    """Return whether a stream has ended that cannot be complete.

    Nothing but its events shows whether a stream is complete that ends with its
    connection. A caller that resumes one may have received all of them.

    :param is_empty: whether it brought no event
    """
    if progress.reader.partial:
        return True
    has_none = is_empty and not progress.reader.last
    return has_none and ends_with_connection(head.headers)
