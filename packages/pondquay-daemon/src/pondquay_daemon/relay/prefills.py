"""A request's prompt at one upstream: what is read there, what peers hear of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.prompts import list_shared

if TYPE_CHECKING:
    from types import TracebackType

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart
    from pondquay_daemon.relay.components import RelayComponents


class Prefill:
    """Counts a request at an upstream, and its prompt until that has been read.

    :param prefix: the parts of its prompt
    :param source: the upstream from which shared parts are copied before
    """

    def __init__(
        self,
        components: RelayComponents,
        upstream: KnownUpstream,
        prefix: tuple[PromptPart, ...],
        source: KnownUpstream | None,
    ) -> None:
        self._components = components
        self._upstream = upstream
        self._prefix = prefix
        self._unread = upstream.prompts.count_uncached(prefix)
        if source is not None:
            self._unread = min(self._unread, source.prompts.count_uncached(prefix))

    def __enter__(self) -> Prefill:
        """Begin to count."""
        self._upstream.running += 1
        self._upstream.prompts.own += self._unread
        self._components.announce_load(self._upstream, ())
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

    def note_response(self) -> None:
        """Learn that something came from the upstream, if only that it is full."""
        self._upstream.last_seen_at = self._components.clock.seconds()
        self._components.directory.reach.note_response(self._upstream.record.domain)

    def note_prefilled(self) -> None:
        """Learn that the prompt has been read.

        What was turned away was not: taken for read, it would draw the next prompts
        with the same parts to an upstream that has to read them first.
        """
        if self._unread:
            new = self._upstream.prompts.note_prefilled(list_shared(self._prefix))
            if new:
                self._components.announce_load(self._upstream, new)
        self._end()

    def _end(self) -> None:
        """Note that the prompt no longer waits to be read there."""
        if not self._unread:
            return
        self._upstream.prompts.own -= self._unread
        self._unread = 0
        self._components.announce_load(self._upstream, ())
