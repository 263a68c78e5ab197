"""The index of requests that run at this instance or ran there recently."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from pondquay.requests.lifecycle import Outcome
from pondquay_daemon.calls import CachedResponse, Call, Refusal, RefusalCode

if TYPE_CHECKING:
    from pondquay.names import InstanceId, RequestName

MAX_CACHED_RESPONSES = 2000
MAX_CACHE_BYTES = 8 << 20
RETRY_SECONDS = 1


class RequestIndex:
    """Tracks running requests and caches complete responses for callers' retries.

    :param max_responses: maximum number of cached responses
    :param max_bytes: maximum size of the cached responses in bytes
    """

    def __init__(
        self,
        max_responses: int = MAX_CACHED_RESPONSES,
        max_bytes: int = MAX_CACHE_BYTES,
    ) -> None:
        self.running: dict[RequestName, Call] = {}
        self._searching: set[RequestName] = set()
        self._cached: OrderedDict[RequestName, CachedResponse] = OrderedDict()
        self._bytes = 0
        self._max_responses = max_responses
        self._max_bytes = max_bytes

    def find(self, call: Call) -> CachedResponse | Refusal | None:
        """Return the cached response to a call, or a refusal.

        :returns: ``None`` if the request is unknown here
        """
        running = self.running.get(call.request)
        if running is not None:
            if running.content_digest != call.content_digest:
                return _refuse_reused_key()
            return Refusal(
                RefusalCode.REQUEST_RUNNING,
                "a request with this key is running",
                Outcome.UNKNOWN,
                RETRY_SECONDS,
            )
        cached = self._cached.get(call.request)
        if cached is not None and cached.content_digest != call.content_digest:
            return _refuse_reused_key()
        return cached

    def begin(self, call: Call) -> None:
        """Add a request, and mark it as being searched for at other instances."""
        self.running[call.request] = call
        self._searching.add(call.request)

    def note_none_found(self, call: Call) -> None:
        """Note that the search found no attempt, so the request runs here."""
        self._searching.discard(call.request)

    def end(self, call: Call) -> None:
        """Remove a request that has ended."""
        self.running.pop(call.request, None)
        self._searching.discard(call.request)

    def takes_precedence(
        self, request: RequestName, own_id: InstanceId, requester: InstanceId
    ) -> bool:
        """Return whether a request runs here rather than at a peer that also has it.

        While both instances search for attempts, the lower identifier takes precedence,
        so that exactly one instance runs the request.

        :param own_id: identifier of this instance
        :param requester: identifier of the peer
        """
        if request not in self.running:
            return False
        return request not in self._searching or own_id < requester

    def cache(self, call: Call, response: CachedResponse) -> None:
        """Cache a complete response, and evict the oldest ones beyond the limits.

        Responses to requests without an idempotency key and responses of more than a
        quarter of the maximum size are not cached.
        """
        if not call.keyed or response.size > self._max_bytes // 4:
            return
        self._cached[call.request] = response
        self._bytes += response.size
        while len(self._cached) > self._max_responses or self._bytes > self._max_bytes:
            _, evicted = self._cached.popitem(last=False)
            self._bytes -= evicted.size


def _refuse_reused_key() -> Refusal:
    return Refusal(RefusalCode.KEY_REUSED, "this key names another request")
