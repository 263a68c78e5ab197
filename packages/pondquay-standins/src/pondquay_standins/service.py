"""Stand-in for a plain service: a ranking board whose writes must not run twice.

Faults are set by ``POST /faults``: ``hang`` (calls of ``/entries`` run but get no
response) and ``leaving`` (the load report announces that the service leaves).
"""

from __future__ import annotations

from argparse import ArgumentParser
from typing import TYPE_CHECKING, Any

from klein import Klein
from pydantic import BaseModel, ConfigDict
from twisted.internet.defer import Deferred

from pondquay_standins.web import read_body, serve, write_body

if TYPE_CHECKING:
    from twisted.web.server import Request

REQUEST_HEADER = "Pondquay-Request"
SLOTS = 64


class Faults(BaseModel):
    """The current faults."""

    model_config = ConfigDict(extra="forbid")

    hang: bool = False
    leaving: bool = False


class ServiceStandIn:
    """Stores entries and logs every call that ran.

    :param name: name of the service in the load report
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.entries: list[Any] = []
        self.log: list[dict[str, str]] = []
        self.app = Klein()
        route = self.app.route
        route("/v1/load", methods=["GET"])(self.show_load)
        route("/log", methods=["GET"])(self.show_log)
        route("/faults", methods=["POST"])(self.set_faults)
        route("/entries", methods=["GET"], endpoint="list")(self.list_entries)
        route("/entries", methods=["POST"], endpoint="add")(self.add_entry)

    def _log_call(self, request: Request) -> None:
        name = request.getHeader(REQUEST_HEADER) or ""
        self.log.append({"stream": name, "method": request.method.decode()})

    def list_entries(self, request: Request) -> Any:
        """Return all entries."""
        self._log_call(request)
        return Deferred() if self.faults.hang else write_body(request, self.entries)

    def add_entry(self, request: Request) -> Any:
        """Add an entry."""
        self._log_call(request)
        self.entries.append(read_body(request))
        if self.faults.hang:
            return Deferred()
        return write_body(request, {"entries": len(self.entries)}, 201)

    def show_load(self, request: Request) -> bytes:
        """Return the load report."""
        return write_body(
            request,
            {
                "tokens": 0,
                "slots": SLOTS,
                "leaving": self.faults.leaving,
                "models": [{"model": self.name, "version": ""}],
            },
        )

    def show_log(self, request: Request) -> bytes:
        """Return the log of calls that ran."""
        return write_body(request, {"streams": self.log})

    def set_faults(self, request: Request) -> bytes:
        """Change the given faults and return all of them."""
        changed = {**self.faults.model_dump(), **read_body(request)}
        self.faults = Faults.model_validate(changed)
        return write_body(request, self.faults.model_dump())


def main() -> None:
    """Run the stand-in on the given port."""
    parser = ArgumentParser(prog="python -m pondquay_standins.service")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--name", required=True)
    options = parser.parse_args()
    serve(ServiceStandIn(options.name).app, options.port)


if __name__ == "__main__":
    main()
