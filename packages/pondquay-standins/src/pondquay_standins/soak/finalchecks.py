"""Checks at the end of a run, after all faults are cleared."""

from __future__ import annotations

import json
import time
from functools import partial
from typing import TYPE_CHECKING, Any

from pondquay_standins.processes import wait_until
from pondquay_standins.replicarecords import CRASHING_PART_PREFIX
from pondquay_standins.soak.callers import PROMPT_TOKENS, TOKENS_PER_EVENT
from pondquay_standins.soak.fleet import TOP_UP_TOKENS
from pondquay_standins.soak.invariants import Violation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pondquay_standins.soak.fleet import SoakFleet

RECOVERY_SECONDS = 15.0
# In each round, every relay receives a streaming and a plain request.
REQUEST_ROUNDS = 8
LEAVING_INVARIANT = "a leaving upstream receives no new request"
# Long enough for relays to poll the table of upstreams several times.
UNLISTED_SECONDS = 3.0
CRASHING_INVARIANT = "a request that crashes upstreams is refused after a few crashes"
# Relays identify the request by three crashes; more may occur before all refuse it.
MAX_CRASHED = 6
CRASHING_PART_INVARIANT = "a part that crashes upstreams is refused after a few crashes"
CRASHING_PATH_PREFIX = "/fetch/crashing-"
CRASHING_SECONDS = 5.0
# Crashes under a part of prompts, time in which all relays learn of the last of them,
# and requests with the part that may reach replicas later.
BORNE_CRASHES = 5
CONTACT_SECONDS = 3.0
MAX_LATE_PROMPTS = 3
CRASHING_PROMPTS_SECONDS = 10.0


def count_late(crashed_at: Sequence[float]) -> int:
    """Return how many crashes are too late after the last one that must be borne.

    :param crashed_at: times in seconds, in order
    """
    if len(crashed_at) < BORNE_CRASHES:
        return 0
    last = crashed_at[BORNE_CRASHES - 1] + CONTACT_SECONDS
    return sum(at > last for at in crashed_at)


class FinalChecks:
    """Clears all faults of a fleet and checks that it recovers."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        # Why each relay was not healthy at its latest check, empty if it was.
        self._failures: dict[str, str] = {}

    def run(self) -> list[Violation]:
        """Clear all faults and return the violations found.

        All relays must serve requests and have the newest configuration. They must
        refuse a request that crashes replicas, also one that is known by a part of its
        prompt only, and send nothing to leaving replicas.
        Each check runs only if the previous checks found no violation.
        """
        fleet = self._fleet
        fleet.control("store", fault="none")
        fleet.clear_proxy_faults()
        fleet.preferred = ""
        for name in fleet.services:
            fleet.control("replica", name=name, fault="none")
            fleet.control("backoff", name=name, seconds=0)
            fleet.control("limit", name=name, limit=None)
            fleet.control("pace", name=name, factor=1.0)
            fleet.control("silence", name=name, kind="none")
        fleet.configure_next(fleet.prepaid + TOP_UP_TOKENS)
        violations = []
        for name in fleet.relays:
            try:
                wait_until(partial(self._is_healthy, name), name, RECOVERY_SECONDS)
            except TimeoutError as error:
                details = f"{error}; last {self._failures[name]}"
                violations.append(Violation("all relays recover", name, details))
                self._save_state(name)
        return (
            violations
            or self._check_crashing()
            or self._check_crashing_part()
            or self._check_leaving()
        )

    def _check_crashing(self) -> list[Violation]:
        """Check that a request that crashes replicas is refused after a few crashes."""
        path = f"{CRASHING_PATH_PREFIX}last"
        self._fleet.send_repeatedly(path, CRASHING_SECONDS)
        crashed = sum(run["target"] == path for run in self._fleet.runs())
        if crashed > MAX_CRASHED:
            return [Violation(CRASHING_INVARIANT, path, f"{crashed} replicas crashed")]
        return []

    def _check_crashing_part(self) -> list[Violation]:
        """Check that new requests with a part that crashes replicas are refused."""
        part = f"{CRASHING_PART_PREFIX}-last"
        self._fleet.send_crashing_prompts(part, CRASHING_PROMPTS_SECONDS)
        attempts = {
            run["attempt"] for run in self._fleet.runs() if part in run["parts"]
        }
        # Each run ends at once with a crash of its replica.
        crashed_at = sorted(
            arrival.at
            for arrival in self._fleet.arrivals()
            if arrival.attempt in attempts
        )
        late = count_late(crashed_at)
        if late > MAX_LATE_PROMPTS:
            details = f"{len(crashed_at)} replicas crashed, {late} too late"
            return [Violation(CRASHING_PART_INVARIANT, part, details)]
        return []

    def _check_leaving(self) -> list[Violation]:
        """Check that relays send nothing to leaving replicas.

        Check it while the other replicas have rows, and again without these rows.
        """
        fleet = self._fleet
        runs_before = len(self._list_runs_at_leaving())
        for _ in range(REQUEST_ROUNDS):
            self._send_to_each_relay()
        for name in fleet.relays:
            try:
                wait_until(
                    partial(self._excludes_leaving, name), name, RECOVERY_SECONDS
                )
            except TimeoutError as error:
                return [Violation(LEAVING_INVARIANT, name, f"not excluded: {error}")]
        for name in fleet.list_remaining():
            fleet.delete_row(name)
        until = time.monotonic() + UNLISTED_SECONDS
        while time.monotonic() < until:
            self._send_to_each_relay()
        return [
            Violation(
                LEAVING_INVARIANT,
                run["attempt"] or run["target"],
                "ran at a leaving replica",
            )
            for run in self._list_runs_at_leaving()[runs_before:]
        ]

    def _send_to_each_relay(self) -> None:
        """Send a streaming and a plain request to each relay."""
        fleet = self._fleet
        for relay in fleet.relays.values():
            fleet.send_request(relay, "/audit/", tokens=(PROMPT_TOKENS, 3), events=1)
            fleet.send_request(relay, "/fetch/")

    def _list_runs_at_leaving(self) -> list[dict[str, Any]]:
        """Return the requests that ran at leaving replicas."""
        leaving = self._fleet.leaving
        return [run for run in self._fleet.runs() if run["replica"] in leaving]

    def _excludes_leaving(self, name: str) -> bool:
        """Return whether a relay's state dump lists no leaving replica as in use."""
        upstreams = json.loads(self._fleet.relays[name].fetch_report("/dump"))[
            "upstreams"
        ]
        in_use = {
            upstream["upstream"] for upstream in upstreams if not upstream["left"]
        }
        return not in_use & self._fleet.leaving

    def _is_healthy(self, name: str) -> bool:
        """Return whether a relay has the newest configuration and serves a stream."""
        try:
            self._failures[name] = self._find_failure(name)
        except OSError as error:
            self._failures[name] = f"call failed: {error}"
        return not self._failures[name]

    def _find_failure(self, name: str) -> str:
        """Return why a relay is not healthy, empty if it is.

        :raises OSError: if a call to the relay fails
        """
        relay = self._fleet.relays[name]
        version = self._fleet.version
        metrics = relay.fetch_report("/metrics")
        if f"pondquay_configuration_version {version}.0" not in metrics:
            return f"configuration is not version {version}"
        tokens = (PROMPT_TOKENS, 2 * TOKENS_PER_EVENT)
        response = self._fleet.send_request(relay, "/audit/", tokens=tokens, events=2)
        if response.status != 200:
            reason = response.body.decode(errors="replace").strip()
            return f"response {response.status}: {reason}"
        return "" if response.complete else "response is incomplete"

    def _save_state(self, name: str) -> None:
        """Save the state of a relay that does not recover with the logs."""
        relay = self._fleet.relays[name]
        state: dict[str, Any] = {"failure": self._failures[name]}
        try:
            state["ready"] = relay.ready
            state["dump"] = json.loads(relay.fetch_report("/dump"))
        except OSError as error:
            state["error"] = str(error)
        path = self._fleet.folder / f"{name}-unhealthy.json"
        path.write_text(json.dumps(state, indent=1))
