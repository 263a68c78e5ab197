"""Tests of a fleet of processes under failures.

Most compare the bills with the runs of the engines after the failure.
"""

from __future__ import annotations

import json
import threading
import time
import urllib.request
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest

from pondquay_standins.fleet import Fleet
from pondquay_standins.names import MODEL, SERVICE
from pondquay_standins.processes import call_http, wait_until
from pondquay_standins.workspaces import (
    SMALL_BUDGET_TOKENS,
    WORKSPACES,
    configure_workspaces,
    make_workspace,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = "sk-failures"
PACE = 0.02
# Upper limit of the time to refuse a request, with margin for a busy machine.
MAX_REFUSAL_SECONDS = 0.5
# Delay of calls to the platform, long enough to observe calls in progress.
SLOW_MS = 300
# Delay of calls to a platform that responds in time.
SLIGHTLY_SLOW_MS = 250
# Slows down streams that must last until all of them have begun.
LONG_STREAM_FACTOR = 4.0


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Run a fleet for a test, with the default workspaces and ``proof``."""
    with Fleet(pace=PACE) as fleet:
        configure_workspaces(fleet)
        version = fleet.configure("khuree", *make_workspace("proof", KEY, 100_000))
        fleet.wait_for_version(version)
        yield fleet


@dataclass
class Reader:
    """A caller that reads a stream in a separate thread."""

    url: str
    key: str
    events: list[str] = field(default_factory=list)
    error: str = ""
    thread: threading.Thread | None = None

    def start(self, name: str, max_tokens: int, text: str = "verify") -> Reader:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
            "Idempotency-Key": name,
        }
        request = urllib.request.Request(
            f"{self.url}/v1/chat/completions", json.dumps(body).encode(), headers
        )
        self.thread = threading.Thread(target=self._read, args=(request,))
        self.thread.start()
        return self

    def _read(self, request: urllib.request.Request) -> None:
        try:
            with urllib.request.urlopen(request, timeout=60) as response:
                for line in response:
                    if line.startswith(b"data: "):
                        self.events.append(line[6:].strip().decode())
        except OSError as error:
            self.error = str(error)

    def wait(self) -> Reader:
        assert self.thread is not None
        self.thread.join(60)
        return self

    @property
    def complete(self) -> bool:
        return bool(self.events) and self.events[-1] == "[DONE]"

    @property
    def text(self) -> str:
        chunks = [json.loads(event) for event in self.events if event != "[DONE]"]
        return "".join(
            chunk["choices"][0]["delta"].get("content", "")
            for chunk in chunks
            if "choices" in chunk
        )


def read_stream(fleet: Fleet, at: int, name: str, max_tokens: int = 64) -> Reader:
    """Request a stream through an instance and read it in a thread."""
    return Reader(fleet.instances[at].caller_url, KEY).start(name, max_tokens)


def slow_engines(fleet: Fleet, factor: float) -> None:
    """Slow down the streams of all engines by a factor."""
    for upstream in fleet.upstreams:
        if upstream.kind == "engine":
            call_http("POST", f"{upstream.url}/faults", {"slow_factor": factor})


def fetch_engine_logs(fleet: Fleet) -> list[dict[str, Any]]:
    """Return every stream that ended at a running engine."""
    logs = []
    for upstream in fleet.upstreams:
        if upstream.kind == "engine" and upstream.process.popen.poll() is None:
            logs += call_http("GET", f"{upstream.url}/log").json()["streams"]
    return logs


def count_service_calls(fleet: Fleet) -> int:
    """Return the number of calls that ran at plain services."""
    services = [upstream for upstream in fleet.upstreams if upstream.kind == "service"]
    return sum(
        len(call_http("GET", f"{service.url}/log").json()["streams"])
        for service in services
    )


def fetch_bills(fleet: Fleet, at: int = 0) -> dict[str, Any]:
    """Return the bills of the workspace ``proof``."""
    content: dict[str, Any] = fleet.call_operator(
        "khuree", "GET", "/bills/proof", at=at
    ).json()
    return content


def fetch_budget(fleet: Fleet, at: int = 0) -> dict[str, Any]:
    """Return the budget of the workspace ``proof``."""
    rows = fleet.call_operator("khuree", "GET", "/budgets", at=at).json()["budgets"]
    found: dict[str, Any] = next(row for row in rows if row["workspace"] == "proof")
    return found


def wait_until_billed(fleet: Fleet, names: set[str], at: int = 0) -> dict[str, Any]:
    """Wait for the bills of requests, check that no others exist, and return them."""
    wait_until(
        lambda: set(fetch_bills(fleet, at)["requests"]) >= names, f"bills of {names}"
    )
    found = fetch_bills(fleet, at)
    assert set(found["requests"]) == names
    return found


def check_spend(fleet: Fleet, at: int = 0) -> None:
    """Compare the bills with the runs of the engines and with the budget."""
    tokens = sum(
        stream["tokens"]
        for stream in fetch_engine_logs(fleet)
        if stream["state"] == "finished"
    )
    found = fetch_bills(fleet, at)
    assert found["billed"] + found["surplus"] == tokens
    row = fetch_budget(fleet, at)
    assert row["billed"] <= row["granted"] <= row["limit"]


def test_a_killed_instance_loses_no_response_and_no_bill(fleet: Fleet) -> None:
    # On a busy machine, no stream may end before the last one has begun.
    slow_engines(fleet, LONG_STREAM_FACTOR)
    readers = [read_stream(fleet, 0, f"k{number}", 128) for number in range(5)]
    wait_until(
        lambda: all(len(reader.events) > 3 for reader in readers), "open streams"
    )
    killed = fleet.instances[0]
    killed.process.kill()
    fleet.unregister(killed.name)
    for reader in readers:
        assert not reader.wait().complete
    slow_engines(fleet, 1)
    repeated = [read_stream(fleet, 2, f"k{number}", 128).wait() for number in range(5)]
    assert all(reader.complete for reader in repeated)
    for before, after in zip(readers, repeated, strict=True):
        assert after.text.startswith(before.text)
    wait_until_billed(fleet, {f"k{number}" for number in range(5)}, at=1)
    assert len(fetch_engine_logs(fleet)) == 5, (
        "a stream was run again instead of being resumed"
    )
    check_spend(fleet, at=1)

    def is_closed() -> bool:
        return killed.name not in fetch_budget(fleet, at=1)["granted_to"]

    wait_until(is_closed, "the dead instance's grants are closed")


def test_a_paused_instance_is_replaced_and_bills_once_when_it_resumes(
    fleet: Fleet,
) -> None:
    reader = read_stream(fleet, 0, "paused", 64)
    wait_until(lambda: len(reader.events) > 3, "an open stream")
    paused = fleet.instances[0]
    paused.process.pause()
    wait_until(
        lambda: paused.name not in fetch_budget(fleet, at=1)["granted_to"],
        "the paused instance's grants are closed",
    )
    paused.process.resume()
    assert reader.wait().complete, "the caller received an incomplete response"
    wait_until_billed(fleet, {"paused"}, at=1)
    response = fleet.complete(KEY, "after waking", at=0)
    assert response.status == 200
    wait_until(lambda: len(fetch_bills(fleet, at=1)["requests"]) == 2, "both bills")
    check_spend(fleet, at=1)


def test_without_the_platform_only_unrepeatable_requests_are_refused(
    fleet: Fleet,
) -> None:
    assert fleet.complete(KEY, "warm up").status == 200
    wait_until(
        lambda: fleet.instances[0].metric("pondquay_held_tokens") > 1000,
        "tokens held by the first instance",
    )
    fleet.set_platform_faults(down=True)
    for number in range(10):
        headers = {"Idempotency-Key": f"out-{number}"}
        assert fleet.complete(KEY, f"outage {number}", headers=headers).status == 200
    once = {"Idempotency-Key": "once", "Pondquay-Repeatable": "no"}
    refused = fleet.complete(KEY, "payroll", headers=once)
    assert refused.status == 503
    assert refused.json()["error"]["code"] == "platform_unreachable"
    assert refused.headers["Pondquay-Outcome"] == "not-run"
    assert int(refused.headers["Retry-After"]) > 0
    fleet.set_platform_faults(down=False)
    wait_until(
        lambda: len(fetch_bills(fleet)["requests"]) == 11, "bills after the outage"
    )
    assert fleet.complete(KEY, "payroll", headers=once).status == 200
    wait_until(lambda: len(fetch_bills(fleet)["requests"]) == 12, "the last bill")
    check_spend(fleet)


def test_with_a_frozen_platform_every_instance_serves_repeatable_requests(
    fleet: Fleet,
) -> None:
    # Includes ``proof``, but not ``trial``, whose budget is too small for a base grant.
    base_count = len(WORKSPACES)
    for instance in fleet.instances:
        wait_until(
            lambda instance=instance: (
                instance.metric("pondquay_grants_held") >= base_count
            ),
            "base grants of all workspaces",
        )
    fleet.set_platform_faults(frozen=True)
    for at in range(len(fleet.instances)):
        headers = {"Idempotency-Key": f"frozen-{at}"}
        assert fleet.complete(KEY, "caption", at=at, headers=headers).status == 200
    once = {"Idempotency-Key": "once", "Pondquay-Repeatable": "no"}
    started_at = time.monotonic()
    refused = fleet.complete(KEY, "payroll", headers=once)
    took = time.monotonic() - started_at
    assert refused.status == 503
    assert refused.headers["Pondquay-Outcome"] == "not-run"
    assert took < MAX_REFUSAL_SECONDS
    fleet.set_platform_faults(frozen=False)
    count = len(fleet.instances)
    wait_until(
        lambda: len(fetch_bills(fleet)["requests"]) == count, "bills after the freeze"
    )
    check_spend(fleet)


# Guards against 503 for requests that a slow platform serves.
def test_a_slow_platform_refuses_no_request(fleet: Fleet) -> None:
    # The budget is too small for a base grant, so that each request needs the table.
    entities = make_workspace("late", "sk-late", SMALL_BUDGET_TOKENS)
    fleet.wait_for_version(fleet.configure("lima", *entities))
    fleet.set_platform_faults(slow_ms=SLIGHTLY_SLOW_MS)
    assert fleet.complete("sk-late", "caption").status == 200
    once = {"Idempotency-Key": "once", "Pondquay-Repeatable": "no"}
    assert fleet.complete(KEY, "payroll", headers=once).status == 200


def test_a_grant_counts_as_held_only_once_the_table_has_committed_it(
    fleet: Fleet,
) -> None:
    base_count = len(WORKSPACES)
    first = fleet.instances[0]
    wait_until(
        lambda: first.metric("pondquay_grants_held") >= base_count, "base grants"
    )
    fleet.set_platform_faults(slow_ms=SLOW_MS)
    fleet.configure("lima", *make_workspace("late", "sk-late", 100_000))
    wait_until(
        lambda: first.metric("pondquay_grants_held") > base_count,
        "the base grant of the new workspace",
    )
    fleet.set_platform_faults(frozen=True)
    assert fleet.complete("sk-late", "caption").status == 200


def test_lost_responses_of_the_table_cause_no_second_run_or_bill(fleet: Fleet) -> None:
    for number in range(6):
        fleet.set_platform_faults(lose=3)
        headers = {"Idempotency-Key": f"lost-{number}", "Pondquay-Repeatable": "no"}
        wait_until(
            lambda headers=headers: (
                fleet.complete(KEY, "draft", headers=headers).status in (200, 409)
            ),
            "a response",
        )
    fleet.set_platform_faults(lose=0)
    names = [stream["stream"] for stream in fetch_engine_logs(fleet)]
    assert len(names) <= 6, "a request ran twice"
    wait_until(lambda: fetch_bills(fleet)["billed"] > 0, "bills")
    wait_until(lambda: len(fetch_bills(fleet)["requests"]) == len(names), "all bills")
    check_spend(fleet)


def test_a_domain_without_the_platform_continues_to_serve(fleet: Fleet) -> None:
    for at in range(4):
        assert fleet.complete(KEY, "warm up", at=at).status == 200
    domain = fleet.instances[0].domain
    fleet.set_platform_faults(cut=[domain])
    for at in range(4):
        assert fleet.complete(KEY, "during the cut", at=at).status == 200
    fleet.set_platform_faults(cut=[])
    wait_until(
        lambda: len(fetch_bills(fleet)["requests"]) == 8, "all bills after the cut"
    )
    check_spend(fleet)


def test_a_planned_stop_completes_streams_while_the_platform_is_down(
    fleet: Fleet,
) -> None:
    readers = [read_stream(fleet, 0, f"s{number}", 200) for number in range(4)]
    wait_until(
        lambda: all(len(reader.events) > 3 for reader in readers), "open streams"
    )
    fleet.set_platform_faults(down=True)
    leaving = fleet.instances[0]
    leaving.process.popen.terminate()

    def refuses() -> bool:
        return fleet.complete(KEY, "too late", at=0).status == 503

    wait_until(refuses, "the leaving instance refuses new work")
    for reader in readers:
        assert reader.wait().complete, "a stream in progress was cut off"
    fleet.set_platform_faults(down=False)
    assert leaving.process.popen.wait(30) == 0
    fleet.unregister(leaving.name)
    wait_until_billed(fleet, {f"s{number}" for number in range(4)}, at=1)
    assert leaving.name not in fetch_budget(fleet, at=1)["granted_to"]
    check_spend(fleet, at=1)


@pytest.mark.parametrize("source", ["list", "own", "operator"])
def test_a_leaving_upstream_gets_no_new_work_after_two_seconds(
    fleet: Fleet, source: str
) -> None:
    leaving = fleet.upstreams[0]
    if source == "list":
        fleet.register(name=leaving.name, state="leaving")
    elif source == "own":
        fleet.set_platform_faults(down=True)
        call_http("POST", f"{leaving.url}/faults", {"leaving": True})
    else:
        fleet.call_operator("khuree", "POST", f"/upstreams/{leaving.name}/drain", {})

    def is_known_everywhere() -> bool:
        for at in range(len(fleet.instances)):
            rows = fleet.call_operator("khuree", "GET", "/upstreams", at=at).json()
            states = {row["name"]: row["state"] for row in rows["upstreams"]}
            if states[leaving.name] != "leaving":
                return False
        return True

    assert (
        wait_until(is_known_everywhere, "all instances know that it leaves", 2.0) < 2.0
    )
    ran = len(call_http("GET", f"{leaving.url}/log").json()["streams"])
    fleet.set_platform_faults(down=False)
    for number in range(12):
        assert fleet.complete(KEY, f"after {number}", at=number % 4).status == 200
    assert len(call_http("GET", f"{leaving.url}/log").json()["streams"]) == ran


def test_interrupted_streams_are_resumed_and_complete(fleet: Fleet) -> None:
    for upstream in fleet.upstreams:
        if upstream.kind == "engine":
            faults = {"cut_after": 7, "foreign": True}
            call_http("POST", f"{upstream.url}/faults", faults)
    reader = read_stream(fleet, 0, "cut", 40).wait()
    for upstream in fleet.upstreams:
        if upstream.kind == "engine":
            call_http(
                "POST", f"{upstream.url}/faults", {"cut_after": 0, "foreign": False}
            )
    plain = fleet.complete(KEY, "verify", at=1, max_tokens=40)
    assert reader.complete
    assert reader.text == plain.json()["choices"][0]["message"]["content"]


def test_an_engine_that_requests_back_off_gets_one_call(fleet: Fleet) -> None:
    rejecting = next(
        upstream for upstream in fleet.upstreams if upstream.kind == "engine"
    )
    faults = {"refuse": True, "backoff_seconds": 60}
    call_http("POST", f"{rejecting.url}/faults", faults)
    for number in range(20):
        assert fleet.complete(KEY, f"call {number}").status == 200
    refused = call_http("GET", f"{rejecting.url}/log").json()["refused"]
    assert refused == 1


def test_a_stream_whose_engine_dies_has_an_unknown_outcome(
    fleet: Fleet,
) -> None:
    reader = read_stream(fleet, 0, "broken", 400)
    wait_until(lambda: len(reader.events) > 3, "an open stream")
    for upstream in fleet.upstreams:
        if upstream.kind == "engine":
            upstream.process.kill()
    reader.wait()
    assert not reader.complete
    error = json.loads(reader.events[-1])["error"]
    assert (error["code"], error["outcome"]) == ("outcome_unknown", "unknown")


def test_a_started_stream_that_is_cancelled_has_an_unknown_outcome(
    fleet: Fleet,
) -> None:
    """The engine cancels the stream after the caller has received pieces of it."""
    reader = read_stream(fleet, 0, "ended", 400)
    wait_until(lambda: len(reader.events) > 3, "an open stream")
    for upstream in fleet.upstreams:
        if upstream.kind == "engine":
            call_http("POST", f"{upstream.url}/cancel-all", {})
    reader.wait()
    error = json.loads(reader.events[-1])["error"]
    assert (error["code"], error["outcome"]) == ("outcome_unknown", "unknown")


def test_repeatable_requests_succeed_despite_dead_engines(fleet: Fleet) -> None:
    for upstream in fleet.upstreams[:3]:
        if upstream.kind == "engine":
            upstream.process.kill()
    for number in range(8):
        headers = {"Idempotency-Key": f"dead-{number}"}
        response = fleet.complete(KEY, f"other {number}", headers=headers, timeout=30)
        assert response.status == 200
    wait_until_billed(fleet, {f"dead-{number}" for number in range(8)})


def test_a_hanging_call_has_an_unknown_outcome_and_never_runs_again(
    fleet: Fleet,
) -> None:
    for upstream in fleet.upstreams:
        if upstream.kind == "service":
            call_http("POST", f"{upstream.url}/faults", {"hang": True})
    url = f"{fleet.instances[0].caller_url}/services/{SERVICE}/entries"
    headers = fleet.caller_headers(KEY, {"Idempotency-Key": "rank"})
    outcome: list[Any] = []

    def write() -> None:
        outcome.append(call_http("POST", url, {"runner": "bat"}, headers, timeout=60))

    writer = threading.Thread(target=write)
    writer.start()
    wait_until(lambda: count_service_calls(fleet) == 1, "the call of the service")
    for upstream in fleet.upstreams:
        if upstream.kind == "service":
            upstream.process.kill()
    writer.join(60)
    assert outcome[0].status == 502
    assert outcome[0].headers["Pondquay-Outcome"] == "unknown"
    other = f"{fleet.instances[1].caller_url}/services/{SERVICE}/entries"
    again = call_http("POST", other, {"runner": "bat"}, headers)
    assert again.status == 409


def test_a_replaced_instance_serves_as_a_new_incarnation(fleet: Fleet) -> None:
    assert fleet.complete(KEY, "before", at=0).status == 200
    replaced = fleet.instances[0]
    replaced.process.kill()
    fleet.add_daemon(replaced.name, replaced.domain)
    at = len(fleet.instances) - 1
    wait_until(
        lambda: fleet.complete(KEY, "after", at=at).status == 200, "the new instance"
    )
    wait_until(lambda: len(fetch_bills(fleet, at)["requests"]) == 2, "both bills")
    check_spend(fleet, at)


def test_tokens_held_by_another_instance_are_recalled(fleet: Fleet) -> None:
    """The first instance obtains most tokens, but requests at others still succeed."""
    key = "sk-tight"
    version = fleet.configure("lima", *make_workspace("tight", key, 200))
    fleet.wait_for_version(version)
    for at in (0, 1, 2, 3):
        response = fleet.complete(key, "hours", at=at, max_tokens=16)
        assert response.status == 200, f"refused at instance {at}"


def test_a_new_instance_gets_the_configuration_from_peers_alone(
    fleet: Fleet,
) -> None:
    """The platform's table is down, but its list of instances is not."""
    fleet.set_platform_faults(table_down=True)
    new_instance = fleet.add_daemon("entry-9", fleet.domains[0])
    expected = fleet.instances[0].metric("pondquay_configuration_version")

    def has_configuration() -> bool:
        return new_instance.metric("pondquay_configuration_version") == expected

    wait_until(has_configuration, "the configuration from a peer")
    assert call_http("GET", f"{new_instance.metrics_url}/ready").status == 200


def test_an_instance_without_a_configuration_is_not_ready(fleet: Fleet) -> None:
    fleet.set_platform_faults(down=True)
    new_instance = fleet.add_daemon("entry-9", fleet.domains[0])
    assert call_http("GET", f"{new_instance.metrics_url}/ready").status == 503
    refused = fleet.complete(KEY, "too early", at=len(fleet.instances) - 1)
    assert (refused.status, refused.json()["error"]["code"]) == (503, "not_ready")


def test_one_of_several_concurrent_confirmations_succeeds(fleet: Fleet) -> None:
    def make_plan(tokens: int) -> dict[str, Any]:
        budget = {"kind": "budget", "name": "proof", "partner": "khuree"}
        return {"wanted": [{**budget, "tokens": tokens}]}

    plans = [
        fleet.call_operator(
            "khuree", "POST", "/plans", make_plan(200_000 + at), at=at
        ).json()
        for at in range(4)
    ]
    responses: list[Any] = [None] * 4

    def confirm(at: int) -> None:
        path = f"/plans/{plans[at]['id']}/confirm"
        responses[at] = fleet.call_operator("khuree", "POST", path, {}, at=at)

    threads = [threading.Thread(target=confirm, args=(at,)) for at in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(response.status for response in responses) == [200, 409, 409, 409]
    winner = next(at for at in range(4) if responses[at].status == 200)
    fleet.wait_for_version(responses[winner].json()["version"])
    assert fetch_budget(fleet)["limit"] == 200_000 + winner


def test_an_attempt_is_billed_if_its_witness_and_its_holder_are_killed(
    fleet: Fleet,
) -> None:
    """The holder of the grant closes it while the attempt runs, and is then killed."""
    reader = read_stream(fleet, 0, "orphan", 512)
    wait_until(lambda: len(reader.events) > 3, "an open stream")
    holder = fleet.instances[0]
    same_domain = [
        instance for instance in fleet.instances if instance.domain == holder.domain
    ]
    witness = next(instance for instance in same_domain if instance is not holder)
    witness.process.kill()
    wait_until(
        lambda: fetch_budget(fleet, at=1)["held"] > 0, "the holder closes its grant"
    )
    holder.process.kill()
    reader.wait()
    wait_until(
        lambda: "orphan" in fetch_bills(fleet, at=1)["requests"],
        "the bill of the attempt",
        60,
    )
    wait_until(lambda: fetch_budget(fleet, at=1)["held"] == 0, "no tokens are held")
    check_spend(fleet, at=1)
