"""How reading long prompts at one upstream disturbs the streams that run there.

An engine reads a prompt piece by piece between the tokens of all that run beside it.
Where it reads slowly, one long prompt stretches the pauses of every stream there beyond
what their route allows. That shows in the pauses of this instance's own streams, so it
needs no report and no knowledge of the engine.
"""

from __future__ import annotations

from dataclasses import dataclass

# Part of the allowed pause from which a pause counts as one in which a prompt was read;
# without reading, events come several times as fast.
READING_PART = 0.5
# Seconds after which a pause counts half: an upstream that was slow for a while is
# given long prompts again.
HALF_LIFE_SECONDS = 15.0
# Pauses that were too long, as a part of those in which a prompt was read, from which
# long prompts are kept away.
BROKEN_PART = 0.15
# Too long pauses that are needed for a verdict; one may be the network's.
MIN_BROKEN = 1.5


@dataclass(slots=True)
class PauseRecord:
    """Counts pauses of streams at one upstream, later ones more than earlier ones.

    :ivar reading: pauses in which a prompt was read
    :ivar broken: those of them that were longer than the route allows
    """

    reading: float = 0.0
    broken: float = 0.0
    _at: float = 0.0

    def note(self, pause: float, allowed: float, now: float) -> None:
        """Take in a pause between two events.

        :param pause: seconds
        :param allowed: seconds, by the stream's route
        """
        if pause < READING_PART * allowed:
            return
        self._fade(now)
        self.reading += 1.0
        if pause > allowed:
            self.broken += 1.0

    def breaks_streams(self, now: float) -> bool:
        """Tell whether long prompts here make the pauses of other streams too long."""
        self._fade(now)
        return self.broken >= MIN_BROKEN and self.broken >= BROKEN_PART * self.reading

    def _fade(self, now: float) -> None:
        kept = 0.5 ** ((now - self._at) / HALF_LIFE_SECONDS)
        self.reading *= kept
        self.broken *= kept
        self._at = now
