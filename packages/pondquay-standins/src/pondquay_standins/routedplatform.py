"""Stand-in for the platform of routed requests, as a single process.

It runs the row store, replicas that write their rows to it, and a control endpoint with
which tests set faults and read the requests that ran.
"""

from __future__ import annotations

import json
import time
from argparse import ArgumentParser
from base64 import b64encode
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from klein import Klein
from twisted.web.server import Site

from pondquay_standins.replicafaults import ReplicaFault
from pondquay_standins.replicarecords import DEFAULT_SOFTWARE
from pondquay_standins.replicas import Replica, ReplicaFactory
from pondquay_standins.rowstore import RowStore, StoreApi, StoreFault
from pondquay_standins.silences import SilenceKind
from pondquay_standins.web import reactor, read_body, write_body

if TYPE_CHECKING:
    from twisted.web.server import Request

HOST = "127.0.0.1"
# Delay before a crashed replica starts again.
RESTART_SECONDS = 1.0
# Control actions that change a running replica.
REPLICA_ACTIONS = ("replica", "say-leaving", "backoff", "limit", "pace", "silence")


def change_replica(replica: Replica, action: str, body: dict[str, Any]) -> None:
    """Change the fault, silence, back-off, limit, pace or leaving of a replica."""
    if action == "replica":
        replica.fault = ReplicaFault(body["fault"])
    elif action == "say-leaving":
        replica.leaving = True
    elif action == "backoff":
        replica.backoff = body["seconds"]
    elif action == "silence":
        replica.fall_silent(SilenceKind(body["kind"]))
        if "seconds" in body:
            reactor.callLater(body["seconds"], replica.fall_silent, SilenceKind.NONE)
    elif action == "pace":
        replica.delay_factor = body["factor"]
    else:
        replica.limit = body["limit"]


class RoutedPlatform:
    """The row store, the replicas and the control endpoint."""

    def __init__(self) -> None:
        self.store = RowStore()
        self.replicas: dict[str, Replica] = {}
        # Name and time of each crash, in seconds of the monotonic clock.
        self.crashes: list[tuple[str, float]] = []
        self._listening: dict[str, Any] = {}
        # Scheduled starts of crashed replicas.
        self._restarts: dict[str, Any] = {}
        self._ports: dict[str, int] = {}
        # Port and state that each replica's row has.
        self._listed: dict[str, tuple[int, str]] = {}

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as an operator or a replica does."""
        text = b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": text}
        self.store.transact({"put": [row]})

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        if table == "servers":
            self._listed.pop(key, None)
        self.store.transact({"delete": [{"table": table, "part": "", "key": key}]})

    def start_replica(self, description: dict[str, Any]) -> None:
        """Start a replica and write its row; one that has ended keeps its records."""
        previous = self.replicas.get(description["name"])
        replica = Replica(
            description["name"],
            description["service"],
            description["zone"],
            software=description.get("software", DEFAULT_SOFTWARE),
            delay_factor=description.get("pace", 1.0),
            runs=[] if previous is None else previous.runs,
            arrivals=[] if previous is None else previous.arrivals,
        )
        self._ports[replica.name] = description["port"]
        self._start_incarnation(replica)
        port = description.get("listed_port", description["port"])
        self.list_replica(replica.name, port, "ready")

    def crash(self, name: str) -> None:
        """Crash a running replica, which restarts after ``RESTART_SECONDS``."""
        if self._end_incarnation(name):
            self._restarts[name] = reactor.callLater(
                RESTART_SECONDS, self._restart, name
            )

    def end_replica(self, name: str) -> None:
        """Crash a replica that does not restart by itself; its row stays."""
        restart = self._restarts.pop(name, None)
        if restart is not None and restart.active():
            restart.cancel()
        self._end_incarnation(name)

    def _end_incarnation(self, name: str) -> bool:
        """Crash a replica.

        :returns: whether it was running
        """
        listening = self._listening.pop(name, None)
        if listening is None:
            return False
        listening.stopListening()
        self.crashes.append((name, time.monotonic()))
        self.replicas[name].on_crash = None
        self.replicas[name].crash()
        return True

    def _restart(self, name: str) -> None:
        previous = self.replicas[name]
        self._start_incarnation(
            Replica(
                name,
                previous.service,
                previous.zone,
                previous.fault,
                software=previous.software,
                leaving=previous.leaving,
                backoff=previous.backoff,
                runs=previous.runs,
                arrivals=previous.arrivals,
            )
        )
        if name in self._listed:
            self.list_replica(name, *self._listed[name])

    def _start_incarnation(self, replica: Replica) -> None:
        name = replica.name
        self.replicas[name] = replica
        replica.on_crash = lambda: self.crash(name)
        self._listening[name] = reactor.listenTCP(
            self._ports[name], ReplicaFactory(replica), interface=HOST
        )

    def list_replica(self, name: str, port: int, state: str) -> None:
        """Write a replica's row; the state ``draining`` marks it as leaving."""
        replica = self.replicas[name]
        self._listed[name] = (port, state)
        replica.sequence += 1
        replica.leaving = replica.leaving or state == "draining"
        row = {
            "service": replica.service,
            "address": f"{HOST}:{port}",
            "zone": replica.zone,
            "version": replica.software,
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": replica.sequence,
            "born": replica.born,
        }
        self.put("servers", name, row)

    def make_control(self) -> Any:
        """Return the web application of the control endpoint."""
        app: Any = Klein()
        app.route("/<action>", methods=["POST"])(self.control)
        app.route("/runs", methods=["GET"])(self.show_runs)
        app.route("/arrivals", methods=["GET"])(self.show_arrivals)
        app.route("/crashes", methods=["GET"])(self.show_crashes)
        app.route("/rows/<table>", methods=["GET"])(self.show_rows)
        return app

    def control(self, request: Request, action: str) -> bytes:
        """Carry out a control action: set a fault, or change replicas or rows."""
        body = read_body(request)
        if action == "store":
            self.store.fault = StoreFault(body["fault"])
        elif action in REPLICA_ACTIONS:
            change_replica(self.replicas[body["name"]], action, body)
        elif action == "start":
            self.start_replica(body)
        elif action == "list":
            self.list_replica(body["name"], body["port"], body["state"])
        elif action == "crash":
            self.crash(body["name"])
        elif action == "end":
            self.end_replica(body["name"])
        elif action == "put":
            self.put(body["table"], body["key"], body["value"])
        elif action == "delete":
            self.delete(body["table"], body["key"])
        return write_body(request, {})

    def show_runs(self, request: Request) -> bytes:
        """Return the runs of all replicas."""
        found = [
            asdict(run) for replica in self.replicas.values() for run in replica.runs
        ]
        return write_body(request, found)

    def show_arrivals(self, request: Request) -> bytes:
        """Return the requests that reached replicas, whether they ran or not."""
        lists = [replica.arrivals for replica in self.replicas.values()]
        return write_body(
            request, [asdict(arrival) for arrivals in lists for arrival in arrivals]
        )

    def show_crashes(self, request: Request) -> bytes:
        """Return the name of each replica that crashed, and when."""
        return write_body(request, self.crashes)

    def show_rows(self, request: Request, table: str) -> bytes:
        """Return the rows of a table."""
        rows = self.store.rows.items()
        found = [row.as_json() for row_id, row in rows if row_id[0] == table]
        return write_body(request, found)


def run_platform(platform: RoutedPlatform) -> None:
    """Serve the store and the control endpoint until the process ends."""
    parser = ArgumentParser(prog="routed-platform")
    parser.add_argument("--store", type=int, required=True)
    parser.add_argument("--control", type=int, required=True)
    options = parser.parse_args()
    for port, app in (
        (options.store, StoreApi(platform.store).make_app()),
        (options.control, platform.make_control()),
    ):
        site = Site(app.resource())
        site.noisy = False
        reactor.listenTCP(port, site, interface=HOST)
    reactor.run()


if __name__ == "__main__":
    run_platform(RoutedPlatform())
