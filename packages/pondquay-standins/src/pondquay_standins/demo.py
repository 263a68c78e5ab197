"""Demonstration of the main features on a fleet, step by step.

It exits with status 0 only if all checks of all steps pass.
"""

from __future__ import annotations

import json
import sys
import threading
import urllib.request
from typing import TYPE_CHECKING, Any

from pondquay_standins.fleet import Fleet
from pondquay_standins.names import MODEL, SERVICE, digest
from pondquay_standins.processes import call_http, wait_until
from pondquay_standins.workspaces import SMALL_BUDGET_TOKENS, configure_workspaces

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_ACTIVATION_SECONDS = 2.0
FIRST_INSTANCE = 0
SECOND_INSTANCE = 1


class StepFailedError(Exception):
    """A check of the demonstration failed."""


def expect(passed: bool, description: str) -> None:
    """Print the result of a check.

    :raises StepFailedError: if the check failed
    """
    print(f"  {'ok' if passed else 'FAILED'}: {description}", flush=True)
    if not passed:
        raise StepFailedError(description)


def read_stream(
    url: str, body: dict[str, Any], headers: dict[str, str]
) -> Iterator[str]:
    """Request a streamed completion and yield its events as they are received."""
    request = urllib.request.Request(url, json.dumps(body).encode(), headers)
    with urllib.request.urlopen(request, timeout=30) as response:
        for line in response:
            if line.startswith(b"data: "):
                yield line.removeprefix(b"data: ").strip().decode()


def stream_body(text: str, max_tokens: int) -> dict[str, Any]:
    """Return the body of a streamed request."""
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "max_tokens": max_tokens,
        "stream": True,
    }


def join_text(events: list[str]) -> str:
    """Return the text of a streamed completion."""
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


INTENT = """
[workspace reviews]
key_digest = {digest}
[budget reviews]
tokens = 50000
[model judge]
output_limit = 512
versions = v1:100
[service ranking]
price = 5
"""


def show_plan(fleet: Fleet) -> None:
    """Plan an intent, confirm the plan, and time its activation."""
    print("1. an intent becomes a plan, which takes effect when it is confirmed")
    path = fleet.folder / "khuree.ini"
    path.write_text(INTENT.format(digest=digest("sk-reviews")))
    planned = fleet.run_cli("khuree", "--json", "plan", str(path))
    expect(planned.returncode == 0, "pondquay plan khuree.ini returns a plan")
    plan = json.loads(planned.stdout)
    shown = fleet.run_cli("khuree", "show", plan["id"]).stdout
    print("\n".join(f"     {line}" for line in shown.splitlines()))
    expect(
        read_version(fleet) == plan["base"],
        "the plan has no effect before it is confirmed",
    )
    confirmed = fleet.run_cli("khuree", "--json", "confirm", plan["id"])
    expect(confirmed.returncode == 0, "pondquay confirm puts the plan into effect")
    version = json.loads(confirmed.stdout)["version"]
    seconds = fleet.wait_for_version(version, MAX_ACTIVATION_SECONDS)
    print(
        f"     version {version} is active everywhere {seconds:.2f} s after the command"
    )
    again = fleet.run_cli("khuree", "--json", "confirm", plan["id"])
    expect(
        json.loads(again.stdout)["version"] == version,
        "confirming it again makes no new version",
    )


def read_version(fleet: Fleet) -> int:
    """Return the configuration version of the first instance."""
    version: int = fleet.call_operator("khuree", "GET", "/status").json()["version"]
    return version


def show_requests(fleet: Fleet, key: str) -> None:
    """Request a completion, plain and streamed, and call a plain service."""
    print("2. requests run through different instances, each with its bill")
    plain = fleet.complete(key, "caption this split", at=FIRST_INSTANCE)
    expect(plain.status == 200, "a completion succeeds")
    usage = plain.json()["usage"]["total_tokens"]
    billed = int(plain.headers["Pondquay-Billed"])
    expect(billed == usage, f"its bill equals its usage: {billed} tokens")
    url = f"{fleet.instances[SECOND_INSTANCE].caller_url}/v1/chat/completions"
    body = stream_body("review this run", 32)
    events = list(read_stream(url, body, fleet.caller_headers(key)))
    expect(
        events[-1] == "[DONE]", f"a stream is complete after {len(events) - 2} pieces"
    )
    service = call_http(
        "POST",
        f"{fleet.instances[FIRST_INSTANCE].caller_url}/services/{SERVICE}/entries",
        {"runner": "bat", "time": 61.2},
        fleet.caller_headers(key, {"Idempotency-Key": "rank-1"}),
    )
    expect(service.status == 201, "a ranking write runs at the plain service")
    again = call_http(
        "POST",
        f"{fleet.instances[SECOND_INSTANCE].caller_url}/services/{SERVICE}/entries",
        {"runner": "bat", "time": 61.2},
        fleet.caller_headers(key, {"Idempotency-Key": "rank-1"}),
    )
    expect(again.status == 409, "the same write at another instance does not run twice")


def show_refusal(fleet: Fleet, key: str) -> None:
    """Request more tokens than a budget has."""
    print("3. a request that exceeds its budget is refused and does not run")
    response = fleet.complete(key, "weekly payroll summary", max_tokens=200)
    expect(response.status == 402, "the response has status 402")
    expect(
        response.headers["Pondquay-Outcome"] == "not-run",
        "the response states that the request did not run",
    )


def show_instance_failure(fleet: Fleet, key: str) -> str:
    """Kill an instance with a stream open and repeat the request at another.

    :returns: the idempotency key of the request
    """
    print("4. an instance is killed with a stream open; the caller retries at another")
    idempotency_key = "verify-77"
    killed = fleet.instances[2]
    headers = fleet.caller_headers(key, {"Idempotency-Key": idempotency_key})
    body = stream_body("verify the whole history of this run", 256)
    first_events: list[str] = []
    ran_before = count_runs(fleet)

    def read() -> None:
        try:
            url = f"{killed.caller_url}/v1/chat/completions"
            for event in read_stream(url, body, headers):
                first_events.append(event)
        except OSError:
            return

    reader = threading.Thread(target=read)
    reader.start()
    wait_until(lambda: len(first_events) > 5, "the first pieces")
    killed.process.kill()
    reader.join()
    expect(
        "[DONE]" not in first_events,
        f"the stream broke after {len(first_events)} pieces",
    )
    survivor = next(
        instance
        for instance in fleet.instances
        if instance.domain == killed.domain and instance is not killed
    )
    url = f"{survivor.caller_url}/v1/chat/completions"
    second_events = list(read_stream(url, body, headers))
    expect(second_events[-1] == "[DONE]", "the retry receives the complete response")
    expect(
        join_text(second_events).startswith(join_text(first_events)),
        "it begins with the pieces received before the failure",
    )
    ran = count_runs(fleet) - ran_before
    expect(ran == 1, "the engines ran the request once")
    return idempotency_key


def count_runs(fleet: Fleet) -> int:
    """Return the number of streams that ended at engines."""
    return sum(
        len(call_http("GET", f"{upstream.url}/log").json()["streams"])
        for upstream in fleet.upstreams
        if upstream.kind == "engine"
    )


def show_spend(fleet: Fleet, resumed_key: str) -> None:
    """Check that bills match the runs of the upstreams and stay within budgets."""
    print("5. the spend of every workspace is within its budget")
    engines = [upstream for upstream in fleet.upstreams if upstream.kind == "engine"]
    ran_tokens = 0
    for engine in engines:
        log = call_http("GET", f"{engine.url}/log").json()["streams"]
        ran_tokens += sum(
            entry["tokens"] for entry in log if entry["state"] == "finished"
        )
    service_calls = sum(
        len(call_http("GET", f"{upstream.url}/log").json()["streams"])
        for upstream in fleet.upstreams
        if upstream.kind == "service"
    )
    expected = ran_tokens + 5 * service_calls

    def is_billed() -> bool:
        return bool(sum(budget["billed"] for budget in list_budgets(fleet)) == expected)

    wait_until(is_billed, f"bills of {expected} tokens in total")
    for row in list_budgets(fleet):
        line = f"{row['workspace']}: {row['billed']} billed, {row['granted']} granted"
        within = row["billed"] <= row["granted"] <= row["limit"]
        expect(within, f"{line}, limit {row['limit']}")
    expect(True, f"total billed: {expected} tokens, the same as upstreams ran")
    bill = fleet.call_operator("khuree", "GET", "/bills/captions").json()
    expect(resumed_key in bill["requests"], "the resumed request has a bill")
    attempts = bill["requests"][resumed_key]["attempts"]
    expect(len(attempts) == 1, "the bill has only one attempt")


def list_budgets(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the budgets of all partners."""
    found: list[dict[str, Any]] = []
    for partner in fleet.operator_keys:
        found += fleet.call_operator(partner, "GET", "/budgets").json()["budgets"]
    return found


def run(fleet: Fleet) -> None:
    """Run all steps."""
    show_plan(fleet)
    workspaces = configure_workspaces(fleet)
    keys = {workspace["name"]: workspace["key"] for workspace in workspaces}
    show_requests(fleet, keys["captions"])
    show_refusal(fleet, keys["trial"])
    resumed_key = show_instance_failure(fleet, keys["captions"])
    show_spend(fleet, resumed_key)
    print(
        f"done: all checks passed (the small budget had {SMALL_BUDGET_TOKENS} tokens)"
    )


def main() -> int:
    """Run the demonstration.

    :returns: 0 if all checks passed, else 1
    """
    with Fleet() as fleet:
        try:
            run(fleet)
        except (StepFailedError, TimeoutError, OSError, KeyError) as error:
            print(f"the demonstration failed: {error!r}", file=sys.stderr)
            for daemon in fleet.instances:
                tail = daemon.process.log.read_text(errors="replace").splitlines()[-15:]
                print("\n".join([f"--- {daemon.name}", *tail]), file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
