"""The demonstration: the main job on a whole fleet, step by step.

Exits with 0 only if every step held.
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
from pondquay_standins.workspaces import SMALL_TOKENS, configure_workspaces

if TYPE_CHECKING:
    from collections.abc import Iterator

IN_FORCE_SECONDS = 2.0
FIRST = 0
SECOND = 1


class StepFailedError(Exception):
    """A step of the demonstration did not hold."""


def expect(holds: bool, what: str) -> None:
    """Print what holds, or end the demonstration.

    :raises StepFailedError: if it does not hold
    """
    print(f"  {'ok' if holds else 'FAILED'}: {what}", flush=True)
    if not holds:
        raise StepFailedError(what)


def read_stream(
    url: str, body: dict[str, Any], headers: dict[str, str]
) -> Iterator[str]:
    """Ask for a streamed completion and return its events as they come."""
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
    """Return the text of a streamed answer."""
    chunks = [json.loads(one) for one in events if one != "[DONE]"]
    return "".join(one["choices"][0]["delta"].get("content", "") for one in chunks)


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
    """State an intent, show its plan, confirm it, and time it."""
    print("1. an intent becomes a plan; the plan takes effect once confirmed")
    path = fleet.folder / "khuree.ini"
    path.write_text(INTENT.format(digest=digest("sk-reviews")))
    planned = fleet.run_cli("khuree", "--json", "plan", str(path))
    expect(planned.returncode == 0, "pondquay plan khuree.ini answers with a plan")
    plan = json.loads(planned.stdout)
    shown = fleet.run_cli("khuree", "show", plan["id"]).stdout
    print("\n".join(f"     {line}" for line in shown.splitlines()))
    expect(read_version(fleet) == plan["base"], "nothing took effect yet")
    confirmed = fleet.run_cli("khuree", "--json", "confirm", plan["id"])
    expect(confirmed.returncode == 0, "pondquay confirm puts it in force")
    version = json.loads(confirmed.stdout)["version"]
    seconds = fleet.wait_for_version(version, IN_FORCE_SECONDS)
    print(f"     version {version} was everywhere {seconds:.2f} s after the command")
    again = fleet.run_cli("khuree", "--json", "confirm", plan["id"])
    expect(json.loads(again.stdout)["version"] == version, "twice confirms once")


def read_version(fleet: Fleet) -> int:
    """Return the version in force at the first instance."""
    version: int = fleet.call_operator("khuree", "GET", "/status").json()["version"]
    return version


def show_requests(fleet: Fleet, key: str) -> None:
    """Run a plain and a streamed completion and a call to a plain service."""
    print("2. requests run, through different instances, each with its bill")
    plain = fleet.complete(key, "caption this split", at=FIRST)
    expect(plain.status == 200, "a completion is answered")
    usage = plain.json()["usage"]["total_tokens"]
    billed = int(plain.headers["Pondquay-Billed"])
    expect(billed == usage, f"its bill is its usage: {billed} tokens")
    url = f"{fleet.instances[SECOND].caller_url}/v1/chat/completions"
    body = stream_body("review this run", 32)
    events = list(read_stream(url, body, fleet.caller_headers(key)))
    expect(
        events[-1] == "[DONE]", f"a stream ends whole after {len(events) - 2} pieces"
    )
    service = call_http(
        "POST",
        f"{fleet.instances[FIRST].caller_url}/services/{SERVICE}/entries",
        {"runner": "bat", "time": 61.2},
        fleet.caller_headers(key, {"Idempotency-Key": "rank-1"}),
    )
    expect(service.status == 201, "a ranking write runs at the plain service")
    again = call_http(
        "POST",
        f"{fleet.instances[SECOND].caller_url}/services/{SERVICE}/entries",
        {"runner": "bat", "time": 61.2},
        fleet.caller_headers(key, {"Idempotency-Key": "rank-1"}),
    )
    expect(
        again.status == 409, "asked again at another instance, it does not run twice"
    )


def show_refusal(fleet: Fleet, key: str) -> None:
    """Ask for more than a budget can bear."""
    print("3. a budget that is too small refuses, and nothing runs")
    response = fleet.complete(key, "weekly payroll summary", max_tokens=200)
    expect(response.status == 402, "the answer is 402")
    expect(
        response.headers["Pondquay-Outcome"] == "not-run", "it says that it did not run"
    )


def show_death(fleet: Fleet, key: str) -> str:
    """Kill an instance with a stream open and ask again at another.

    :returns: the request's key
    """
    print("4. an instance dies with a stream open; the caller asks again elsewhere")
    name = "verify-77"
    victim = fleet.instances[2]
    headers = fleet.caller_headers(key, {"Idempotency-Key": name})
    body = stream_body("verify the whole history of this run", 256)
    first: list[str] = []
    ran_before = count_runs(fleet)

    def read() -> None:
        try:
            url = f"{victim.caller_url}/v1/chat/completions"
            for event in read_stream(url, body, headers):
                first.append(event)
        except OSError:
            return

    reader = threading.Thread(target=read)
    reader.start()
    wait_until(lambda: len(first) > 5, "the first pieces")
    victim.process.kill()
    reader.join()
    expect("[DONE]" not in first, f"the stream broke after {len(first)} pieces")
    survivor = next(
        one
        for one in fleet.instances
        if one.domain == victim.domain and one is not victim
    )
    url = f"{survivor.caller_url}/v1/chat/completions"
    second = list(read_stream(url, body, headers))
    expect(second[-1] == "[DONE]", "asked again, the answer is whole")
    expect(join_text(second).startswith(join_text(first)), "and it is the same answer")
    ran = count_runs(fleet) - ran_before
    expect(ran == 1, "the engines ran it once")
    return name


def count_runs(fleet: Fleet) -> int:
    """Return how many streams engines have begun and ended."""
    return sum(
        len(call_http("GET", f"{one.url}/log").json()["streams"])
        for one in fleet.upstreams
        if one.kind == "engine"
    )


def show_spend(fleet: Fleet, taken_over: str) -> None:
    """Compare what was billed with what engines ran and with the budgets."""
    print("5. the spend of every workspace against its budget")
    engines = [one for one in fleet.upstreams if one.kind == "engine"]
    ran = 0
    for one in engines:
        log = call_http("GET", f"{one.url}/log").json()["streams"]
        ran += sum(entry["tokens"] for entry in log if entry["state"] == "finished")
    service_calls = sum(
        len(call_http("GET", f"{one.url}/log").json()["streams"])
        for one in fleet.upstreams
        if one.kind == "service"
    )
    expected = ran + 5 * service_calls

    def billed_all() -> bool:
        return bool(sum(one["billed"] for one in list_budgets(fleet)) == expected)

    wait_until(billed_all, f"bills of {expected} tokens in all")
    for row in list_budgets(fleet):
        line = f"{row['workspace']}: {row['billed']} billed, {row['granted']} granted"
        within = row["billed"] <= row["granted"] <= row["limit"]
        expect(within, f"{line}, limit {row['limit']}")
    expect(True, f"billed in all: {expected} tokens, as upstreams ran them")
    bill = fleet.call_operator("khuree", "GET", "/bills/captions").json()
    expect(taken_over in bill["requests"], "the request that was taken over has a bill")
    attempts = bill["requests"][taken_over]["attempts"]
    expect(len(attempts) == 1, "and it has only one")


def list_budgets(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the budgets of all partners."""
    found: list[dict[str, Any]] = []
    for partner in fleet.operator_keys:
        found += fleet.call_operator(partner, "GET", "/budgets").json()["budgets"]
    return found


def run(fleet: Fleet) -> None:
    """Do the whole job."""
    show_plan(fleet)
    described = configure_workspaces(fleet)
    keys = {one["name"]: one["key"] for one in described}
    show_requests(fleet, keys["captions"])
    show_refusal(fleet, keys["trial"])
    name = show_death(fleet, keys["captions"])
    show_spend(fleet, name)
    print(f"done: all steps held (the small budget had {SMALL_TOKENS} tokens)")


def main() -> int:
    """Run the demonstration.

    :returns: 0 if every step held, else 1
    """
    with Fleet() as fleet:
        try:
            run(fleet)
        except (StepFailedError, TimeoutError, OSError, KeyError) as error:
            print(f"the demonstration failed: {error!r}", file=sys.stderr)
            for one in fleet.instances:
                tail = one.process.log.read_text(errors="replace").splitlines()[-15:]
                print("\n".join([f"--- {one.name}", *tail]), file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
