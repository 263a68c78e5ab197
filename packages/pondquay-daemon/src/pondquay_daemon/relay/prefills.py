"""Accounting of a request's prompt at one upstream, which is announced to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.pace import normalize_first
from pondquay.routing.prompts import list_shared

if TYPE_CHECKING:
    from types import TracebackType

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay.routing.prompts import PromptPart
    from pondquay_daemon.relay.components import RelayComponents


class Prefill:
    """Counts a request at an upstream, and its uncached tokens until their prefill.

    :param prefix: parts of its prompt
    :param source: the upstream from which cached parts are copied first, if any
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
        self._tokens = sum(part.tokens for part in prefix)
        # Tokens that are processed until the first event.
        self._ahead = 0
        self._sent_at: float | None = None
        self._uncached = upstream.prompts.count_uncached(prefix)
        if source is not None:
            self._uncached = min(self._uncached, source.prompts.count_uncached(prefix))

    def __enter__(self) -> Prefill:
        """Start to count the request."""
        self._ahead = self._upstream.prompts.waiting + self._uncached
        self._sent_at = self._components.clock.seconds()
        self._upstream.running += 1
        self._upstream.prompts.own += self._uncached
        self._components.announce_load(self._upstream, ())
        if self._prefix:
            self._upstream.activity.tokens += self._tokens
            self._components.activity.note_changed(self._upstream)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop counting the request."""
        self._upstream.running -= 1
        self._stop_waiting()
        if self._prefix:
            self._upstream.activity.tokens -= self._tokens
            self._components.activity.note_changed(self._upstream)

    def note_response(self) -> None:
        """Record that the upstream sent data, even if only a rejection."""
        self._upstream.last_seen_at = self._components.clock.seconds()
        self._components.directory.reach.note_response(self._upstream.record.domain)

    def note_prefilled(self) -> None:
        """Record that the prompt has been prefilled, so its shared parts are cached.

        Must not be called for a rejected request: prompts with the same parts would
        then be sent to an upstream that has not cached them.
        """
        self._note_pace()
        if self._uncached:
            new = self._upstream.prompts.note_prefilled(list_shared(self._prefix))
            if new:
                self._components.announce_load(self._upstream, new)
        self._stop_waiting()

    def _note_pace(self) -> None:
        """Record the time in which the prompt was processed."""
        if not self._prefix or self._sent_at is None:
            return
        seconds = self._components.clock.seconds() - self._sent_at
        self._sent_at = None
        pace = normalize_first(seconds, self._ahead)
        self._components.activity.note_reading(self._upstream, pace)

    def _stop_waiting(self) -> None:
        """Stop counting the prompt's tokens as waiting for the prefill."""
        if not self._uncached:
            return
        self._upstream.prompts.own -= self._uncached
        self._uncached = 0
        self._components.announce_load(self._upstream, ())
