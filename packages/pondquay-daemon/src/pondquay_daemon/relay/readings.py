"""A request's prompt at one upstream: what is read there, what peers hear of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.prompts import list_shared

if TYPE_CHECKING:
    from types import TracebackType

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart
    from pondquay_daemon.relay.parts import RelayParts


class PromptReading:
    """Counts a request at an upstream, and its prompt until that has been read.

    :param prefix: the parts of its prompt
    :param source: the upstream from which shared parts are copied before
    """

    def __init__(
        self,
        parts: RelayParts,
        upstream: KnownUpstream,
        prefix: tuple[PromptPart, ...],
        source: KnownUpstream | None,
    ) -> None:
        self._parts = parts
        self._upstream = upstream
        self._prefix = prefix
        self._unread = upstream.prompts.count_unread(prefix)
        if source is not None:
            self._unread = min(self._unread, source.prompts.count_unread(prefix))

    def __enter__(self) -> PromptReading:
        """Begin to count."""
        self._upstream.running += 1
        self._upstream.prompts.own += self._unread
        self._parts.announce_load(self._upstream, ())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Count no longer."""
        self._upstream.running -= 1
        self._end()

    def note_heard(self) -> None:
        """Learn that something came from the upstream, if only that it is full."""
        self._upstream.heard = self._parts.clock.seconds()
        self._parts.directory.reach.note_heard(self._upstream.record.domain)

    def note_read(self) -> None:
        """Learn that the prompt has been read.

        What was turned away was not: taken for read, it would draw the next prompts
        with the same parts to an upstream that has to read them first.
        """
        if self._unread:
            new = self._upstream.prompts.note_read(list_shared(self._prefix))
            if new:
                self._parts.announce_load(self._upstream, new)
        self._end()

    def _end(self) -> None:
        """Note that the prompt no longer waits to be read there."""
        if not self._unread:
            return
        self._upstream.prompts.own -= self._unread
        self._unread = 0
        self._parts.announce_load(self._upstream, ())
