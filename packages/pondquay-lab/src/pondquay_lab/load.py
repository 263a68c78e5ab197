"""The load tool: the same requests straight to an engine and through an instance.

Prints requests a second, the time to the first piece, and what the instance's process
used meanwhile, with the instance's own counters of control traffic.
"""

from __future__ import annotations

import json
import os
from argparse import ArgumentParser
from dataclasses import dataclass, field
from http.client import HTTPConnection
from threading import Thread
from time import monotonic, sleep
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from pondquay_standins.fleet import Fleet
from pondquay_standins.names import MODEL
from pondquay_standins.workspaces import configure_workspaces

if TYPE_CHECKING:
    from pondquay_standins.fleetparts import Daemon

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20
CLIENTS = 16
IDLE_SECONDS = 10.0
COUNTERS = ("peer_bytes", "peer_messages", "table_writes", "table_reads")


@dataclass(slots=True)
class Sample:
    """What a process has used.

    :param cpu: processor time in seconds
    :param memory: resident memory in MiB
    """

    at: float
    cpu: float
    memory: float
    counters: dict[str, float] = field(default_factory=dict)


def take_sample(daemon: Daemon) -> Sample:
    """Read what an instance's process has used so far."""
    pid = daemon.process.pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        parts = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    cpu = (int(parts[11]) + int(parts[12])) / TICKS
    counters = {one: daemon.metric(f"pondquay_{one}") for one in COUNTERS}
    return Sample(monotonic(), cpu, pages * PAGE_BYTES / MEBIBYTE, counters)


def describe_use(before: Sample, after: Sample) -> str:
    """Return what was used between two samples, a second."""
    seconds = after.at - before.at
    cpu = 100 * (after.cpu - before.cpu) / seconds
    rates = ", ".join(
        f"{one} {(after.counters[one] - before.counters[one]) / seconds:.2f}/s"
        for one in COUNTERS
    )
    return f"{cpu:.2f}% of a core, {after.memory:.1f} MiB, {rates}"


@dataclass(slots=True)
class Load:
    """Clients that ask one after another.

    :param first: seconds to the first piece of each answer
    """

    url: str
    headers: dict[str, str]
    requests: int
    first: list[float] = field(default_factory=list)
    failed: int = 0

    def run(self) -> float:
        """Make all requests and return how many a second there were."""
        begun = monotonic()
        threads = [Thread(target=self._ask_all) for _ in range(CLIENTS)]
        for one in threads:
            one.start()
        for one in threads:
            one.join()
        return len(self.first) / (monotonic() - begun)

    def _ask_all(self) -> None:
        address = urlsplit(self.url)
        connection = HTTPConnection(address.hostname or "", address.port, timeout=30)
        for number in range(self.requests // CLIENTS):
            self._ask(connection, f"request {number}")
        connection.close()

    def _ask(self, connection: HTTPConnection, text: str) -> None:
        body = {
            "model": MODEL,
            "version": "v1",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 16,
            "stream": True,
        }
        begun = monotonic()
        connection.request(
            "POST", "/v1/chat/completions", json.dumps(body), self.headers
        )
        response = connection.getresponse()
        seen = False
        for line in response:
            if not seen and line.startswith(b"data: "):
                seen = True
                self.first.append(monotonic() - begun)
        self.failed += not seen

    def percentile(self, part: float) -> float:
        """Return a percentile of the time to the first piece, in milliseconds."""
        ordered = sorted(self.first)
        return 1000 * ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def report(name: str, load: Load) -> float:
    """Run a load and print its figures; return the requests a second."""
    rate = load.run()
    median, high = load.percentile(0.5), load.percentile(0.95)
    print(
        f"{name}: {rate:.0f} requests/s, first piece {median:.1f} ms median, "
        f"{high:.1f} ms p95, {load.failed} failed",
        flush=True,
    )
    return rate


def measure(requests: int) -> None:
    """Measure an idle and a loaded instance of a small fleet."""
    with Fleet(
        engines=4, daemons=2, domains=("hall-a",), pace=0.001, slots=64
    ) as fleet:
        described = configure_workspaces(fleet)
        key = described[0]["key"]
        daemon = fleet.instances[0]
        begun = take_sample(daemon)
        sleep(IDLE_SECONDS)
        print(f"idle: {describe_use(begun, take_sample(daemon))}")
        engine = fleet.upstreams[0].url
        direct = report("one engine, direct", Load(engine, {}, requests))
        headers = fleet.caller_headers(key)
        Load(daemon.caller_url, headers, CLIENTS * 4).run()
        before = take_sample(daemon)
        through = report(
            "through an instance", Load(daemon.caller_url, headers, requests)
        )
        after = take_sample(daemon)
        print(f"loaded: {describe_use(before, after)}")
        spent = 1000 * (after.cpu - before.cpu) / requests
        print(f"processor time a request: {spent:.2f} ms")
        print(f"ratio of requests a second to direct: {through / direct:.2f}")


def main() -> None:
    """Measure and print."""
    parser = ArgumentParser(prog="python -m pondquay_lab.load")
    parser.add_argument("--requests", type=int, default=2000)
    options = parser.parse_args()
    measure(options.requests)


if __name__ == "__main__":
    main()
