"""A late second copy of a refusal stands where the answer to the next request is due."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    HELD,
    HOST_NAME,
    KEY,
    TENANT,
    TROUBLE,
    Client,
    Relay,
    Replica,
    Store,
    run_case,
)

SERVICE, ZONE = "tareo-app", "lima-ate"
WORK_SECONDS = 0.06
LATE_SECONDS = 0.03
ROUNDS = 3
# Of the faulty replica's answers, at most one in so many comes a second time.
ANSWERS_EACH_COPY = 10
MAX_CALM = 400
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-sheet-fetch",
            "host": HOST_NAME,
            "path_prefix": "/sheet/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "slo_ms": 300,
            "priority": 2,
            "service": SERVICE,
            "attempts": 1,
            "public": False,
        }
    ],
    "services": [
        {"name": SERVICE, "health_path": "/healthz", "max_conns": 110, "protocol": "h1"}
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "prepaid": 2276020}],
}


class SheetReplica(Replica):
    """Refuses a request whose id says so, and runs all others.

    If it is faulty, it sends a refusal a second time, late: while it already works on
    the next request of the same connection.
    """

    faulty = False

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self._surplus: dict[asyncio.StreamWriter, bytes] = {}
        self.to_refuse = 0
        self.answers = 0
        self.copies = 0

    async def handle(self, attempt, headers, body, writer) -> None:
        self.answers += 1
        if self.to_refuse:
            self.to_refuse -= 1
            self.record.note(f"replica {self.id}: does not run {attempt}, answers 503")
            writer.write(self.make_refusal(attempt))
            if self.faulty:
                self._surplus[writer] = self.make_refusal(attempt)
            return
        self.begin_run(attempt)
        surplus = self._surplus.pop(writer, None)
        if surplus is not None:
            await asyncio.sleep(LATE_SECONDS)
            self.copies += 1
            self.record.note(f"replica {self.id}: sends its earlier 503 a second time")
            writer.write(surplus)
        await asyncio.sleep(WORK_SECONDS)
        writer.write(self.make_success(attempt, b"sheet of " + attempt.encode()))


async def case(record, folder, relays) -> int:
    store = Store()
    await store.start()
    store.put("op", "config", CONFIGURATION)
    replicas = [SheetReplica(store, record, SERVICE, ZONE) for _ in range(2)]
    for replica in replicas:
        await replica.start()
    relay = Relay(folder, store, "edge-1", ZONE)
    relays.append(relay)
    relay.start([f"{relay.host}:{relay.control}"])
    await relay.wait_ready()
    replicas[0].faulty = TROUBLE
    client = Client(record, relay)
    answers = {}

    async def ask(attempt: str) -> None:
        answers[attempt] = await client.send("/sheet/1", attempt, deadline_ms=1500)

    async def wait_for_answers() -> None:
        """Send requests until one more answer may come a second time."""
        faulty = replicas[0]
        for _ in range(MAX_CALM):
            if faulty.answers >= ANSWERS_EACH_COPY * (faulty.copies + 1):
                return
            await ask(f"calm-{len(answers)}")

    for number in range(ROUNDS):
        await wait_for_answers()
        # One request that the first replica, which is full for a moment, refuses. The
        # other one runs it.
        replicas[0].to_refuse = 1
        while replicas[0].to_refuse:
            await ask(f"refused-{number}-{len(answers)}")
        # The first replica runs one of the next two.
        await ask(f"next-{number}")
        await ask(f"after-{number}")
    # The same with the first replica alone.
    replicas[1].state = "draining"
    replicas[1].write_row()
    await asyncio.sleep(1.5)
    for number in range(2):
        await wait_for_answers()
        replicas[0].to_refuse = 1
        await ask(f"alone-refused-{number}")
        await ask(f"alone-next-{number}")
    await asyncio.sleep(0.5)
    runs = [attempt for replica in replicas for attempt in replica.runs]
    twice = sorted({attempt for attempt in runs if runs.count(attempt) > 1})
    refused = sorted(
        attempt
        for attempt, answer in answers.items()
        if answer.status in (408, 421, 429, 503) and attempt in runs
    )
    record.note(f"requests {len(answers)}, runs {len(runs)}")
    faulty = replicas[0]
    record.note(f"the first replica: {faulty.answers} answers, {faulty.copies} second copies")
    record.note(f"TWICE, ran more than once: {twice}")
    record.note(f"REFUSED, got 503 though they ran: {refused}")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
