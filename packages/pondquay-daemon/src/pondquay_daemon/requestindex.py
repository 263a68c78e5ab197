"""The index of requests that this instance runs or ran a while ago."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from pondquay.requests.lifecycle import Outcome
from pondquay_daemon.calls import CachedResponse, Call, Refusal, RefusalCode

if TYPE_CHECKING:
    from pondquay.names import InstanceId, RequestName

MAX_KEPT = 2000
MAX_KEPT_BYTES = 8 << 20
RETRY_SECONDS = 1


class RequestIndex:
    """Knows which requests run here, and keeps whole answers for callers that return.

    :param most_kept: answers kept at most
    :param most_bytes: memory that they may take together
    """

    def __init__(
        self, most_kept: int = MAX_KEPT, most_bytes: int = MAX_KEPT_BYTES
    ) -> None:
        self.running: dict[RequestName, Call] = {}
        self._looking: set[RequestName] = set()
        self._kept: OrderedDict[RequestName, CachedResponse] = OrderedDict()
        self._bytes = 0
        self._most_kept = most_kept
        self._most_bytes = most_bytes

    def find(self, call: Call) -> CachedResponse | Refusal | None:
        """Return the kept answer to a call, or why it cannot be taken.

        :returns: ``None`` if the request is new here
        """
        running = self.running.get(call.request)
        if running is not None:
            if running.content != call.content:
                return _refuse_reused_key()
            return Refusal(
                RefusalCode.REQUEST_RUNNING,
                "a request with this key is running",
                Outcome.UNKNOWN,
                RETRY_SECONDS,
            )
        kept = self._kept.get(call.request)
        if kept is not None and kept.content != call.content:
            return _refuse_reused_key()
        return kept

    def begin(self, call: Call) -> None:
        """Note that a request is here, and that its attempts are looked for."""
        self.running[call.request] = call
        self._looking.add(call.request)

    def found_none(self, call: Call) -> None:
        """Note that no attempt was found, so the request will run here."""
        self._looking.discard(call.request)

    def end(self, call: Call) -> None:
        """Note that a request no longer runs."""
        self.running.pop(call.request, None)
        self._looking.discard(call.request)

    def runs_before(
        self, request: RequestName, own_id: InstanceId, requester: InstanceId
    ) -> bool:
        """Tell a peer that has the same request whether it should leave it to us.

        While both only look for attempts, the one whose name is less goes on; were
        each to count the other as running, both would refuse and no one would run it.
        """
        if request not in self.running:
            return False
        return request not in self._looking or own_id < requester

    def keep(self, call: Call, response: CachedResponse) -> None:
        """Keep a whole answer, dropping the oldest ones for it."""
        if not call.keyed or response.size > self._most_bytes // 4:
            return
        self._kept[call.request] = response
        self._bytes += response.size
        while len(self._kept) > self._most_kept or self._bytes > self._most_bytes:
            _, dropped = self._kept.popitem(last=False)
            self._bytes -= dropped.size


def _refuse_reused_key() -> Refusal:
    return Refusal(RefusalCode.KEY_REUSED, "this key names another request")
