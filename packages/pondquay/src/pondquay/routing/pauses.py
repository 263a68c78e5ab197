"""Effect of prefills on the streams that run at the same upstream.

An engine prefills a prompt in chunks between the tokens of all running streams. So on a
slow engine, a long prompt may extend the pauses of all streams beyond what their routes
allow. The pauses are measured on this instance's own streams, without reports from the
engine.
"""

from __future__ import annotations

from dataclasses import dataclass

# Fraction of the allowed pause from which a pause is attributed to a prefill. Without a
# prefill, pauses are several times shorter.
PREFILL_PAUSE_FRACTION = 0.5
# Half-life of the counts, so that an upstream recovers from a slow period.
HALF_LIFE_SECONDS = 15.0
# Fraction of excessive pauses among the prefill pauses from which there are too many.
MAX_EXCESSIVE_FRACTION = 0.15
# Minimum decayed count of excessive pauses; a single one may be due to the network.
MIN_EXCESSIVE_PAUSES = 1.5


@dataclass(slots=True)
class PauseRecord:
    """Counts pauses of streams at one upstream with exponential decay.

    :ivar prefill: pauses attributed to a prefill
    :ivar excessive: those of ``prefill`` that were longer than their route allows
    """

    prefill: float = 0.0
    excessive: float = 0.0
    _updated_at: float = 0.0

    def note(self, pause: float, allowed: float, now: float) -> None:
        """Record a pause between two events of a stream.

        :param pause: seconds
        :param allowed: longest pause that the stream's route allows, in seconds
        """
        if pause < PREFILL_PAUSE_FRACTION * allowed:
            return
        self._decay(now)
        self.prefill += 1.0
        if pause > allowed:
            self.excessive += 1.0

    def are_excessive(self, now: float) -> bool:
        """Return whether too many pauses are longer than their routes allow."""
        self._decay(now)
        return (
            self.excessive >= MIN_EXCESSIVE_PAUSES
            and self.excessive >= MAX_EXCESSIVE_FRACTION * self.prefill
        )

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
        self.prefill *= factor
        self.excessive *= factor
        self._updated_at = now
