"""Load test that compares direct requests to an engine with those through an instance.

Prints the requests per second, the time to the first piece of a response, the processor
time and memory of the instance's process, and its counters of control traffic.
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

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20
CLIENTS = 16
IDLE_SECONDS = 10.0
COUNTERS = ("peer_bytes", "peer_messages", "table_writes", "table_reads")


@dataclass(slots=True)
class Sample:
    """Resource usage of an instance's process at one time.

    :param at: time of the sample in seconds
    :param cpu: processor time in seconds
    :param memory: resident memory in MiB
    :param counters: values of the metrics in ``COUNTERS``
    """

    at: float
    cpu: float
    memory: float
    counters: dict[str, float] = field(default_factory=dict)


def take_sample(daemon: Daemon) -> Sample:
    """Return the resource usage of an instance's process so far."""
    pid = daemon.process.pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        stat_fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    cpu = (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_SECOND
    counters = {name: daemon.metric(f"pondquay_{name}") for name in COUNTERS}
    return Sample(monotonic(), cpu, pages * PAGE_BYTES / MEBIBYTE, counters)


def describe_usage(before: Sample, after: Sample) -> str:
    """Return the average usage per second between two samples as text."""
    seconds = after.at - before.at
    cpu = 100 * (after.cpu - before.cpu) / seconds
    rates = ", ".join(
        f"{name} {(after.counters[name] - before.counters[name]) / seconds:.2f}/s"
        for name in COUNTERS
    )
    return f"{cpu:.2f}% of a core, {after.memory:.1f} MiB, {rates}"


@dataclass(slots=True)
class Load:
    """Parallel clients that each send their requests in sequence.

    :param requests: number of requests of all clients together
    :param first_piece_seconds: time to the first piece of each response
    :param failed: number of responses without any piece
    """

    url: str
    headers: dict[str, str]
    requests: int
    first_piece_seconds: list[float] = field(default_factory=list)
    failed: int = 0

    def run(self) -> float:
        """Send all requests and return the responses per second."""
        started = monotonic()
        threads = [Thread(target=self._send_all) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return len(self.first_piece_seconds) / (monotonic() - started)

    def _send_all(self) -> None:
        address = urlsplit(self.url)
        connection = HTTPConnection(address.hostname or "", address.port, timeout=30)
        for number in range(self.requests // CLIENTS):
            self._send_request(connection, f"request {number}")
        connection.close()

    def _send_request(self, connection: HTTPConnection, text: str) -> None:
        body = {
            "model": MODEL,
            "version": "v1",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 16,
            "stream": True,
        }
        started = monotonic()
        connection.request(
            "POST", "/v1/chat/completions", json.dumps(body), self.headers
        )
        response = connection.getresponse()
        has_piece = False
        for line in response:
            if not has_piece and line.startswith(b"data: "):
                has_piece = True
                self.first_piece_seconds.append(monotonic() - started)
        self.failed += not has_piece

    def percentile(self, fraction: float) -> float:
        """Return a percentile of the time to the first piece, in milliseconds."""
        ordered = sorted(self.first_piece_seconds)
        return 1000 * ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def run_load(name: str, load: Load) -> float:
    """Run a load, print its measurements, and return the requests per second."""
    rate = load.run()
    median, p95 = load.percentile(0.5), load.percentile(0.95)
    print(
        f"{name}: {rate:.0f} requests/s, first piece {median:.1f} ms median, "
        f"{p95:.1f} ms p95, {load.failed} failed",
        flush=True,
    )
    return rate


def measure(requests: int) -> None:
    """Measure an idle and a loaded instance of a small fleet."""
    with Fleet(
        engines=4, daemons=2, domains=("hall-a",), pace=0.001, slots=64
    ) as fleet:
        workspaces = configure_workspaces(fleet)
        key = workspaces[0]["key"]
        daemon = fleet.instances[0]
        started = take_sample(daemon)
        sleep(IDLE_SECONDS)
        print(f"idle: {describe_usage(started, take_sample(daemon))}")
        engine = fleet.upstreams[0].url
        direct_rate = run_load("one engine, direct", Load(engine, {}, requests))
        headers = fleet.caller_headers(key)
        Load(daemon.caller_url, headers, CLIENTS * 4).run()
        before = take_sample(daemon)
        routed_rate = run_load(
            "through an instance", Load(daemon.caller_url, headers, requests)
        )
        after = take_sample(daemon)
        print(f"loaded: {describe_usage(before, after)}")
        request_milliseconds = 1000 * (after.cpu - before.cpu) / requests
        print(f"processor time per request: {request_milliseconds:.2f} ms")
        print(
            f"ratio of requests per second to direct: {routed_rate / direct_rate:.2f}"
        )


def main() -> None:
    """Run the load test."""
    parser = ArgumentParser(prog="python -m pondquay_lab.load")
    parser.add_argument("--requests", type=int, default=2000)
    options = parser.parse_args()
    measure(options.requests)


if __name__ == "__main__":
    main()
