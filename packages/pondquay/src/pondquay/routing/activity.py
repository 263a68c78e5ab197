"""Requests and prompt tokens of all instances at one upstream.

An instance counts its own at once and those of its peers by their latest messages. It
may hear from a part of the fleet only; as callers are spread over the instances, the
counts of that part stand for the rest.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Activity:
    """What instances run at an upstream, apart from this instance's request count.

    :ivar tokens: prompt tokens of this instance's running requests
    :ivar heard_running: running requests of the peers that this instance hears
    :ivar heard_tokens: prompt tokens of these requests
    """

    tokens: int = 0
    heard_running: int = 0
    heard_tokens: int = 0
    _by_instance: dict[str, tuple[int, int]] = field(default_factory=dict)

    def receive(self, instance: str, running: int, tokens: int) -> None:
        """Record the running requests that a peer reports, and their tokens."""
        before_running, before_tokens = self._by_instance.pop(instance, (0, 0))
        self.heard_running += running - before_running
        self.heard_tokens += tokens - before_tokens
        if running or tokens:
            self._by_instance[instance] = (running, tokens)

    def forget(self, instance: str) -> None:
        """Discard what a peer reported, as its link is closed."""
        self.receive(instance, 0, 0)


def scale_heard(instances: int, heard: int) -> float:
    """Return the factor from the counts of the heard peers to those of all peers.

    :param instances: instances of the fleet, including this one
    :param heard: peers whose activity this instance receives
    """
    if not heard:
        return 0.0
    return max(1.0, (instances - 1) / heard)
