"""The stand-in platform with replicas that misbehave."""

from __future__ import annotations

from dataclasses import asdict
from random import Random
from typing import TYPE_CHECKING, Any

from pondquay_standins.hostile.behaviours import list_behaviours
from pondquay_standins.hostile.exchanges import HostileFactory, HostileReplica, Visit
from pondquay_standins.routedplatform import RoutedPlatform, run_platform
from pondquay_standins.web import reactor, read_body, write_body

if TYPE_CHECKING:
    from twisted.web.server import Request

HOST = "127.0.0.1"


class HostilePlatform(RoutedPlatform):
    """The row store, replicas that misbehave, and the control endpoint."""

    def __init__(self) -> None:
        super().__init__()
        self._visits: list[Visit] = []
        self._replicas: list[HostileReplica] = []

    def make_control(self) -> Any:
        """Return the web application of the control endpoint."""
        app = super().make_control()
        app.route("/visits", methods=["GET"])(self.show_visits)
        app.route("/hostile", methods=["POST"])(self.start_hostile)
        app.route("/fraction", methods=["POST"])(self.set_fraction)
        return app

    def show_visits(self, request: Request) -> bytes:
        """Return the requests that arrived at misbehaving replicas."""
        return write_body(request, [asdict(visit) for visit in self._visits])

    def start_hostile(self, request: Request) -> bytes:
        """Start a replica that misbehaves, and write its row."""
        body = read_body(request)
        replica = HostileReplica(
            body["name"],
            body["service"],
            list_behaviours()[body["behaviour"]](),
            self._visits,
            Random(body["seed"]),
        )
        self._replicas.append(replica)
        reactor.listenTCP(body["port"], HostileFactory(replica), interface=HOST)
        row = {
            "service": replica.service,
            "address": f"{HOST}:{body['port']}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        self.put("servers", replica.name, row)
        return write_body(request, {})

    def set_fraction(self, request: Request) -> bytes:
        """Set the part of the requests for which all replicas misbehave."""
        fraction = read_body(request)["fraction"]
        for replica in self._replicas:
            replica.behaviour.fraction = fraction
        return write_body(request, {})


if __name__ == "__main__":
    run_platform(HostilePlatform())
