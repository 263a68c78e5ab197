"""The stand-in of the whole platform around routed requests, as one process.

It runs the row store, some replicas that list themselves there, and a control address
by which tests set faults and read what ran.
"""

from __future__ import annotations

import json
from argparse import ArgumentParser
from base64 import b64encode
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from klein import Klein
from twisted.web.server import Site

from pondquay_standins.replicas import Replica, ReplicaFactory, ReplicaFault
from pondquay_standins.rowstore import RowStore, StoreCalls, StoreFault
from pondquay_standins.web import reactor, read_body, write_body

if TYPE_CHECKING:
    from twisted.web.server import Request

HOST = "127.0.0.1"
# After which a replica that crashed is back.
RESTART_SECONDS = 1.0


# What a replica that runs is told to do.
REPLICA_ACTIONS = ("replica", "say-leaving", "backoff", "limit")


def change_replica(replica: Replica, action: str, body: dict[str, Any]) -> None:
    """Change what a replica does wrong, or what it says of itself."""
    if action == "replica":
        replica.fault = ReplicaFault(body["fault"])
    elif action == "say-leaving":
        replica.leaving = True
    elif action == "backoff":
        replica.backoff = body["seconds"]
    else:
        replica.limit = body["limit"]


class RoutedPlatform:
    """The store, the replicas and what controls them."""

    def __init__(self) -> None:
        self.store = RowStore()
        self.replicas: dict[str, Replica] = {}
        self._listening: dict[str, Any] = {}
        self._ports: dict[str, int] = {}
        # The port and the state that each row names.
        self._listed: dict[str, tuple[int, str]] = {}

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a replica does."""
        text = b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": text}
        self.store.transact({"put": [row]})

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        if table == "servers":
            self._listed.pop(key, None)
        self.store.transact({"delete": [{"table": table, "part": "", "key": key}]})

    def start_replica(self, described: dict[str, Any]) -> None:
        """Start a replica and list it."""
        replica = Replica(described["name"], described["service"], described["zone"])
        self._ports[replica.name] = described["port"]
        self._begin_incarnation(replica)
        self.list_replica(replica.name, described["port"], "ready")

    def crash(self, name: str) -> None:
        """End a replica at once; it starts again under its name after a while."""
        listening = self._listening.pop(name, None)
        if listening is None:
            return
        listening.stopListening()
        self.replicas[name].on_crash = None
        self.replicas[name].crash()
        reactor.callLater(RESTART_SECONDS, self._start_again, name)

    def _start_again(self, name: str) -> None:
        before = self.replicas[name]
        self._begin_incarnation(
            Replica(
                name,
                before.service,
                before.zone,
                before.fault,
                leaving=before.leaving,
                backoff=before.backoff,
                runs=before.runs,
                arrivals=before.arrivals,
            )
        )
        if name in self._listed:
            self.list_replica(name, *self._listed[name])

    def _begin_incarnation(self, replica: Replica) -> None:
        name = replica.name
        self.replicas[name] = replica
        replica.on_crash = lambda: self.crash(name)
        self._listening[name] = reactor.listenTCP(
            self._ports[name], ReplicaFactory(replica), interface=HOST
        )

    def list_replica(self, name: str, port: int, state: str) -> None:
        """Write a replica's row."""
        replica = self.replicas[name]
        self._listed[name] = (port, state)
        replica.sequence += 1
        replica.leaving = replica.leaving or state == "draining"
        row = {
            "service": replica.service,
            "address": f"{HOST}:{port}",
            "zone": replica.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": replica.sequence,
            "born": replica.born,
        }
        self.put("servers", name, row)

    def make_control(self) -> Any:
        """Return the control address's calls."""
        app: Any = Klein()
        app.route("/<action>", methods=["POST"])(self.control)
        app.route("/runs", methods=["GET"])(self.tell_runs)
        app.route("/arrivals", methods=["GET"])(self.tell_arrivals)
        app.route("/rows/<table>", methods=["GET"])(self.tell_rows)
        return app

    def control(self, request: Request, action: str) -> bytes:
        """Change what stands or what is wrong."""
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
        elif action == "put":
            self.put(body["table"], body["key"], body["value"])
        elif action == "delete":
            self.delete(body["table"], body["key"])
        return write_body(request, {})

    def tell_runs(self, request: Request) -> bytes:
        """Return all that ran."""
        found = [asdict(run) for one in self.replicas.values() for run in one.runs]
        return write_body(request, found)

    def tell_arrivals(self, request: Request) -> bytes:
        """Return all that reached replicas."""
        lists = [one.arrivals for one in self.replicas.values()]
        return write_body(request, [asdict(one) for all_ in lists for one in all_])

    def tell_rows(self, request: Request, table: str) -> bytes:
        """Return a table's rows."""
        rows = self.store.rows.items()
        found = [row.as_json() for place, row in rows if place[0] == table]
        return write_body(request, found)


def main() -> None:
    """Run until the process is ended."""
    parser = ArgumentParser(prog="routed-platform")
    parser.add_argument("--store", type=int, required=True)
    parser.add_argument("--control", type=int, required=True)
    options = parser.parse_args()
    platform = RoutedPlatform()
    for port, app in (
        (options.store, StoreCalls(platform.store).make_app()),
        (options.control, platform.make_control()),
    ):
        site = Site(app.resource())
        site.noisy = False
        reactor.listenTCP(port, site, interface=HOST)
    reactor.run()


if __name__ == "__main__":
    main()
