"""The graceful stop of a relay, which ends no request without a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay_daemon.readtimers import TURN_BYTES
from pondquay_daemon.relay.ingress import MAX_READ_AHEAD_BYTES
from pondquay_daemon.tasks import read_arrived, sleep

if TYPE_CHECKING:
    from collections.abc import Sized
    from typing import Any

    from pondquay_daemon.relay.ingress import IngressServer
    from pondquay_daemon.relay.intake import RequestIntake

# Time for which the balancer may still open connections after the stop begins.
BALANCER_DRAIN_SECONDS = 2.6
# Reserved at the end of a graceful stop, to return unspent tokens and to send the last
# responses.
END_SECONDS = 0.5
STEP_SECONDS = 0.05
# Turns of the event loop in which what has arrived is read once the time for requests
# is over. They suffice for the bytes that a caller may send ahead.
LAST_TURNS = MAX_READ_AHEAD_BYTES // TURN_BYTES
# Steps in which the last responses may be sent although the time for the stop is over,
# as after a stall.
MIN_SEND_STEPS = 2


class GracefulStop:
    """Finishes or refuses the open requests of a relay that stops.

    :param seconds: time that the stop may take
    :param tunnels: the tunnels that are open for other instances
    """

    def __init__(
        self,
        reactor: Any,
        seconds: float,
        server: IngressServer,
        intake: RequestIntake,
        tunnels: Sized,
    ) -> None:
        self._clock = reactor
        self._server = server
        self._intake = intake
        self._tunnels = tunnels
        self._end_at = reactor.seconds() + seconds

    async def finish_requests(self) -> None:
        """Wait until no request is open, and refuse those that remain in the end."""
        await sleep(BALANCER_DRAIN_SECONDS, self._clock)
        self._intake.refusing = True
        while self._clock.seconds() < self._end_at - END_SECONDS:
            self._server.close_idle()
            if not self._server.connections and not self._tunnels:
                break
            await sleep(STEP_SECONDS, self._clock)
        # After a stall, the time may be over although much has arrived.
        for _ in range(LAST_TURNS):
            await read_arrived(self._clock)
        self._intake.refuse_open()

    async def send_responses(self) -> None:
        """Wait until all responses have been sent, or the time for the stop is over.

        Requests that arrive meanwhile are refused.
        """
        steps = 0
        while steps < MIN_SEND_STEPS or self._clock.seconds() < self._end_at:
            self._server.close_idle()
            await read_arrived(self._clock)
            if not self._server.connections and not self._tunnels:
                return
            await sleep(STEP_SECONDS, self._clock)
            steps += 1
