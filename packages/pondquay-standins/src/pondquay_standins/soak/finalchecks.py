"""What must hold at the end of a run, once all faults are over."""

from __future__ import annotations

import json
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from pondquay_standins.processes import wait_until
from pondquay_standins.soak.callers import EVENT_TOKENS, PROMPT_TOKENS
from pondquay_standins.soak.fleet import RELAYS, REPLICAS, TOP_UP_TOKENS
from pondquay_standins.soak.promises import Breach

if TYPE_CHECKING:
    from pondquay_standins.soak.fleet import SoakFleet

# Within this, all relays serve again and have the newest configuration.
RECOVER_SECONDS = 15.0
# Requests of two kinds to each relay, to see which replicas get them.
ASKED_AT_THE_END = 8
LEAVING_PROMISE = "a leaving upstream gets no new work"
# At the end no replica is listed for this long: several polls of each table.
UNLISTED_SECONDS = 3.0
CRASHING_PROMISE = "a request that crashes upstreams is refused after a few"
# Three, and as many more while instances tell each other.
MAX_CRASHED = 6
CRASHING_PATH = "/fetch/crashing-"
CRASHING_SECONDS = 5.0


class FinalChecks:
    """Ends all that is wrong with a fleet and looks whether it is sound."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet

    def run(self) -> list[Breach]:
        """End all faults, and check that all relays serve again.

        They must have the newest configuration, and send nothing to replicas that left.
        """
        fleet = self._fleet
        fleet.control("store", fault="none")
        fleet.end_line_faults()
        for name in REPLICAS:
            fleet.control("replica", name=name, fault="none")
            fleet.control("backoff", name=name, seconds=0)
            fleet.control("limit", name=name, limit=None)
        fleet.configure_next(fleet.prepaid + TOP_UP_TOKENS)
        found = []
        for name in RELAYS:
            try:
                wait_until(partial(self._is_healthy, name), name, RECOVER_SECONDS)
            except TimeoutError as error:
                found.append(Breach("all serve again", name, str(error)))
        return found or self._check_crashing() or self._check_leaving()

    def _check_crashing(self) -> list[Breach]:
        """Check that a request that crashes replicas is refused once it is known."""
        path = f"{CRASHING_PATH}last"
        self._fleet.ask_again(path, CRASHING_SECONDS)
        crashed = sum(one["target"] == path for one in self._fleet.runs())
        if crashed > MAX_CRASHED:
            return [Breach(CRASHING_PROMISE, path, f"{crashed} replicas crashed")]
        return []

    def _check_leaving(self) -> list[Breach]:
        """Check that relays that are in touch send nothing to leaving replicas.

        First while others remain, then after these have gone from the list as well.
        """
        fleet = self._fleet
        before = len(self._list_runs_of_drained())
        for _ in range(ASKED_AT_THE_END):
            self._ask_each_relay()
        for name in RELAYS:
            try:
                wait_until(partial(self._knows_drained, name), name, RECOVER_SECONDS)
            except TimeoutError as error:
                return [Breach(LEAVING_PROMISE, name, f"not known: {error}")]
        for name in fleet.list_remaining():
            fleet.unlist_replica(name)
        until = time.monotonic() + UNLISTED_SECONDS
        while time.monotonic() < until:
            self._ask_each_relay()
        return [
            Breach(LEAVING_PROMISE, run["attempt"] or run["target"], "it ran there")
            for run in self._list_runs_of_drained()[before:]
        ]

    def _ask_each_relay(self) -> None:
        fleet = self._fleet
        for relay in fleet.relays.values():
            fleet.send_request(relay, "/audit/", tokens=(PROMPT_TOKENS, 3), events=1)
            fleet.send_request(relay, "/fetch/")

    def _list_runs_of_drained(self) -> list[dict[str, Any]]:
        drained = self._fleet.drained
        return [one for one in self._fleet.runs() if one["replica"] in drained]

    def _knows_drained(self, name: str) -> bool:
        """Tell whether a relay knows that the replicas that leave have left."""
        upstreams = json.loads(self._fleet.relays[name].fetch_report("/dump"))[
            "upstreams"
        ]
        used = {one["upstream"] for one in upstreams if not one["left"]}
        return not used & self._fleet.drained

    def _is_healthy(self, name: str) -> bool:
        relay = self._fleet.relays[name]
        in_force = f"pondquay_configuration_version {self._fleet.version}.0"
        if in_force not in relay.fetch_report("/metrics"):
            return False
        tokens = (PROMPT_TOKENS, 2 * EVENT_TOKENS)
        response = self._fleet.send_request(relay, "/audit/", tokens=tokens, events=2)
        return response.status == 200 and response.complete
