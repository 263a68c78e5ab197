"""Tests of a fleet's caller endpoint, some with an unmodified client library."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import openai
import pytest

from pondquay.budgets.sizing import BASE_FRACTION
from pondquay_standins.names import MODEL, SERVICE
from pondquay_standins.processes import call_http, wait_until

if TYPE_CHECKING:
    from conftest import RunningFleet

    from pondquay_standins.processes import HttpResponse

pytestmark = pytest.mark.xdist_group("callers")
MESSAGES: Any = [{"role": "user", "content": "caption this split"}]


@pytest.fixture
def client(running: RunningFleet) -> openai.OpenAI:
    url = f"{running.fleet.instances[0].caller_url}/v1"
    return openai.OpenAI(base_url=url, api_key=running.keys["captions"], max_retries=0)


def test_models_are_listed(client: openai.OpenAI) -> None:
    assert [model.id for model in client.models.list()] == [MODEL]


def test_a_completion_and_a_stream_have_the_same_content(client: openai.OpenAI) -> None:
    complete = client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=24
    )
    chunks = client.chat.completions.create(
        model=MODEL,
        messages=MESSAGES,
        max_tokens=24,
        stream=True,
        stream_options={"include_usage": True},
    )
    received = list(chunks)
    text = "".join(
        chunk.choices[0].delta.content or "" for chunk in received if chunk.choices
    )
    assert text == complete.choices[0].message.content
    assert complete.usage is not None
    assert received[-1].usage == complete.usage


def test_the_client_library_raises_its_own_errors(running: RunningFleet) -> None:
    url = f"{running.fleet.instances[0].caller_url}/v1"
    unknown_client = openai.OpenAI(base_url=url, api_key="sk-nobody", max_retries=0)
    with pytest.raises(openai.AuthenticationError):
        unknown_client.models.list()
    known_client = openai.OpenAI(
        base_url=url, api_key=running.keys["captions"], max_retries=0
    )
    with pytest.raises(openai.NotFoundError):
        known_client.chat.completions.create(model="nothing", messages=MESSAGES)


INVALID_BODIES: list[tuple[Any, int, str | None]] = [
    ([], 400, ""),
    ({"model": MODEL}, 400, "messages"),
    ({"model": MODEL, "messages": []}, 400, "messages"),
    ({"model": 5, "messages": MESSAGES}, 400, "model"),
    ({"model": MODEL, "messages": MESSAGES, "max_tokens": -1}, 400, "max_tokens"),
    ({"model": MODEL, "messages": MESSAGES, "max_tokens": 10**9}, 400, "max_tokens"),
    ({"model": MODEL, "messages": MESSAGES, "max_tokens": "5"}, 400, "max_tokens"),
    ({"model": MODEL, "messages": [{"role": "x"}]}, 400, "messages.0.role"),
    ({"model": MODEL, "messages": [{"role": "user"}]}, 400, "messages.0.content"),
    ({"model": "nothing", "messages": MESSAGES}, 404, "model"),
    ({"model": MODEL, "messages": "x" * (1 << 20)}, 413, None),
]


@pytest.mark.parametrize(("body", "status", "param"), INVALID_BODIES)
def test_invalid_bodies_name_the_field_and_charge_nothing(
    running: RunningFleet, body: Any, status: int, param: str | None
) -> None:
    response = call_http(
        "POST",
        f"{running.fleet.instances[0].caller_url}/v1/chat/completions",
        body,
        running.fleet.caller_headers(running.keys["verification"]),
    )
    assert response.status == status
    assert response.json()["error"]["param"] == param
    assert response.headers["Pondquay-Outcome"] == "not-run"
    budgets = running.fleet.call_operator("khuree", "GET", "/budgets").json()["budgets"]
    (budget,) = [row for row in budgets if row["workspace"] == "verification"]
    # Instances hold base grants before any request; a request would add to them.
    assert budget["granted"] <= BASE_FRACTION * budget["limit"]
    charged = ("billed", "requests", "surplus", "held")
    assert [budget[name] for name in charged] == [0, 0, 0, 0]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Idempotency-Key", "a/b"),
        ("Idempotency-Key", "k" * 200),
        ("Pondquay-Repeatable", "maybe"),
        ("Pondquay-Priority", "first"),
        ("Pondquay-Deadline-Ms", "-5"),
    ],
)
def test_invalid_headers_are_named(
    running: RunningFleet, name: str, value: str
) -> None:
    key = running.keys["captions"]
    response = running.fleet.complete(key, "hello", headers={name: value})
    assert response.status == 400
    assert response.json()["error"]["param"] == name


def test_a_repeated_idempotency_key_returns_the_same_response_and_no_second_bill(
    running: RunningFleet,
) -> None:
    key = running.keys["captions"]
    headers = {"Idempotency-Key": "caption-1"}
    first = running.fleet.complete(key, "once", headers=headers)
    again = running.fleet.complete(key, "once", headers=headers)
    assert again.body == first.body
    other = running.fleet.complete(key, "another", headers=headers)
    assert (other.status, other.json()["error"]["code"]) == (409, "key_reused")

    def is_billed() -> bool:
        bill = running.fleet.call_operator("khuree", "GET", "/bills/captions").json()
        attempts = bill["requests"].get("caption-1", {}).get("attempts", [])
        return len(attempts) == 1

    wait_until(is_billed, "the bill")


def test_an_unrepeatable_request_runs_once_across_instances(
    running: RunningFleet,
) -> None:
    key = running.keys["rosters"]
    headers = {"Idempotency-Key": "draft-1", "Pondquay-Repeatable": "no"}
    first = running.fleet.complete(key, "payroll draft", at=0, headers=headers)
    again = running.fleet.complete(key, "payroll draft", at=1, headers=headers)
    assert first.status == 200
    assert (again.status, again.json()["error"]["code"]) == (409, "request_ran")


def test_a_service_responds_through_any_instance(running: RunningFleet) -> None:
    key = running.keys["captions"]
    url = f"{running.fleet.instances[1].caller_url}/services/{SERVICE}/entries"
    headers = running.fleet.caller_headers(key)
    added = call_http("POST", url, {"runner": "bat"}, headers)
    assert added.status == 201
    assert added.headers["Pondquay-Billed"] == "5"
    unknown = url.replace(SERVICE, "nothing")
    assert call_http("GET", unknown, None, headers).status == 404


def test_concurrent_requests_with_the_same_idempotency_key_run_once(
    running: RunningFleet,
) -> None:
    key = running.keys["rosters"]
    instances = range(len(running.fleet.instances))
    for number in range(24):
        headers = {"Idempotency-Key": f"race-{number}", "Pondquay-Repeatable": "no"}

        def send_request(at: int, headers: dict[str, str] = headers) -> HttpResponse:
            return running.fleet.complete(key, "draft", at=at, headers=headers)

        with ThreadPoolExecutor(12) as pool:
            responses = list(
                pool.map(send_request, [*instances] * (12 // len(instances)))
            )
        codes = sorted(
            {(response.status, _error_code(response)) for response in responses}
        )
        served = [response for response in responses if response.status == 200]
        # A cached response may be returned several times, but the request ran once.
        assert len({response.body for response in served}) == 1, codes
        assert {response.status for response in responses} <= {200, 409}


def _error_code(response: HttpResponse) -> str:
    return "" if response.status == 200 else str(response.json()["error"]["code"])
