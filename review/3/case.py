"""Answers without a length that are reset on the way, at several relays."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (
    BROKEN,
    HELD,
    HEARTBEAT_SECONDS,
    HOST_NAME,
    KEY,
    TENANT,
    TROUBLE,
    Relay,
    Store,
    pick_address,
    pick_port,
    run_case,
)

SERVICE, ZONE = "tareo-app", "lima-ate"
RELAYS, REPLICAS = 2, 3
SECONDS = 60.0
# The run ends early once so many cut answers looked complete.
ENOUGH = 3
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


async def case(record, folder, relays) -> int:
    store = Store()
    await store.start()
    store.put("op", "config", CONFIGURATION)
    load = [sys.executable, str(FOLDER / "load.py")]
    started: list[subprocess.Popen] = []
    try:
        rows = {}
        for number in range(REPLICAS):
            host, name = pick_address(), f"i-replica{number}"
            port = pick_port(host)
            flag = "1" if TROUBLE else "0"
            started.append(
                subprocess.Popen([*load, "replica", host, str(port), name, flag])
            )
            rows[name] = {
                "service": SERVICE,
                "address": f"{host}:{port}",
                "zone": ZONE,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 0,
            }

        async def beat() -> None:
            while True:
                for name, row in rows.items():
                    row["sequence"] += 1
                    store.put("servers", name, row)
                await asyncio.sleep(HEARTBEAT_SECONDS)

        beating = asyncio.ensure_future(beat())
        for number in range(RELAYS):
            relay = Relay(folder, store, f"edge-{number}", ZONE)
            relays.append(relay)
            relay.start([f"{relays[0].host}:{relays[0].control}"])
        for relay in relays:
            await relay.wait_ready()
        until = time.monotonic() + SECONDS
        readers = []
        lines: list[str] = []

        async def read(process) -> None:
            while line := await process.stdout.readline():
                text = line.decode().strip()
                record.note(f"client: {text}")
                if not text.startswith("so far"):
                    lines.append(text)

        clients = []
        for relay in relays:
            process = await asyncio.create_subprocess_exec(
                *load, "client", relay.host, str(relay.front), str(SECONDS),
                stdout=asyncio.subprocess.PIPE,
            )
            clients.append(process)
            readers.append(asyncio.ensure_future(read(process)))
        while time.monotonic() < until and len(lines) < ENOUGH:
            await asyncio.sleep(0.25)
        for process in clients:
            with suppress(ProcessLookupError):
                process.terminate()
        for process in clients:
            await process.wait()
        await asyncio.gather(*readers)
        beating.cancel()
        record.note(f"MIXED, incomplete answers that looked complete: {len(lines)}")
        return BROKEN if lines else HELD
    finally:
        for process in started:
            process.kill()
            process.wait()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
