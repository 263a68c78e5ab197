"""The daemons and upstreams of a fleet, with their processes and addresses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondquay_standins.processes import call_http

if TYPE_CHECKING:
    from pondquay_standins.processes import Process


@dataclass(slots=True)
class Daemon:
    """An entry instance and its endpoints."""

    name: str
    domain: str
    process: Process
    caller_url: str
    operator_url: str
    metrics_url: str
    peer: str

    def metric(self, name: str) -> float:
        """Return the value of a metric without labels.

        :raises KeyError: if there is no such metric
        """
        text = call_http("GET", f"{self.metrics_url}/metrics").body.decode()
        for line in text.splitlines():
            if line.startswith(f"{name} "):
                return float(line.split()[1])
        raise KeyError(name)


@dataclass(slots=True)
class UpstreamProcess:
    """A stand-in for an engine or a plain service."""

    name: str
    domain: str
    kind: str
    partner: str
    url: str
    process: Process


def is_up(url: str) -> bool:
    """Return whether a URL responds with status 200.

    :raises OSError: if there is no response
    """
    return call_http("GET", url).status == 200
