"""A fleet of daemons and stand-ins, run as processes on the loopback address.

Tests, the demonstration and ``python -m pondquay_standins.fleetcommand`` use it.
"""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from secrets import token_hex
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Any

from pondquay_standins.fleetparts import Daemon, UpstreamProcess
from pondquay_standins.names import MODEL, SERVICE, digest
from pondquay_standins.processes import (
    CALL_SECONDS,
    HOST,
    READY_SECONDS,
    HttpResponse,
    Process,
    call_http,
    pick_port,
    wait_until,
)
from pondquay_standins.startup import start_all_until_up, start_until_up

if TYPE_CHECKING:
    from types import TracebackType

DOMAINS = ("hall-a", "hall-b")
PARTNERS = ("khuree", "lima")


@dataclass(slots=True)
class Fleet:
    """Context manager that starts a fleet and kills its processes on exit.

    Methods with a parameter ``at`` call the instance with this index.

    :param engines: number of engines in each domain
    :param daemons: total number of entry instances, spread evenly over the domains
    :param domains: names of the failure domains
    :param pace: seconds between the pieces of an engine's stream
    :param slots: streams that an engine runs at the same time
    :param settings: settings of the daemons by section, merged into the default ones
    :ivar instances: entry instances in the order of their last start
    :ivar operator_keys: operator key of each partner
    """

    engines: int = 2
    daemons: int = 4
    domains: tuple[str, ...] = DOMAINS
    pace: float = 0.01
    slots: int = 16
    settings: dict[str, dict[str, str]] = field(default_factory=dict)
    instances: list[Daemon] = field(default_factory=list)
    upstreams: list[UpstreamProcess] = field(default_factory=list)
    operator_keys: dict[str, str] = field(default_factory=dict)
    platform_url: str = ""
    platform: Process | None = None
    _folder: TemporaryDirectory[str] | None = None
    _processes: list[Process] = field(default_factory=list)

    def __enter__(self) -> Fleet:
        """Start all processes and wait until they are connected."""
        self._folder = TemporaryDirectory(prefix="pondquay-")
        try:
            self._start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes and remove their files."""
        for process in self._processes:
            if process.popen.poll() is None:
                process.kill()
        if self._folder is not None:
            self._folder.cleanup()

    @property
    def folder(self) -> Path:
        """Temporary folder of settings, keys and logs."""
        assert self._folder is not None
        return Path(self._folder.name)

    def _start(self) -> None:
        self.operator_keys = {
            partner: f"op-{partner}-{token_hex(8)}" for partner in PARTNERS
        }
        (self.folder / "fleet.key").write_text(token_hex(32))
        self.platform = start_until_up(
            self._start_platform, lambda _: f"{self.platform_url}/instances"
        )
        upstreams = []
        for domain in self.domains:
            upstreams += [
                partial(self._start_engine, f"engine-{domain}-{number + 1}", domain)
                for number in range(self.engines)
            ]
            upstreams.append(partial(self._start_service, f"service-{domain}", domain))
        for upstream in start_all_until_up(upstreams, _format_load_url):
            self._register_upstream(upstream)
        daemons = [
            partial(
                self._start_daemon,
                f"entry-{number + 1}",
                self.domains[number % len(self.domains)],
            )
            for number in range(self.daemons)
        ]
        for daemon in start_all_until_up(daemons, _format_health_url):
            self._register_daemon(daemon)
        self.wait_connected()

    def wait_connected(self) -> None:
        """Wait until each running instance has links to all others."""
        live = [
            instance
            for instance in self.instances
            if instance.process.popen.poll() is None
        ]
        for daemon in live:
            wait_until(
                partial(_has_peers, daemon, len(live) - 1),
                f"{daemon.name} linked to all its peers",
            )

    def _start_platform(self) -> Process:
        port = pick_port()
        self.platform_url = f"http://{HOST}:{port}"
        module = "pondquay_standins.platform"
        return self._spawn("platform", module, "--port", str(port))

    def _spawn(self, name: str, module: str, *arguments: str) -> Process:
        log = self.folder / f"{name}-{token_hex(2)}.log"
        with log.open("wb") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )
        process = Process(name, popen, log)
        self._processes.append(process)
        return process

    def register(self, **entry: str) -> None:
        """Add an entry to the platform's list of instances, or update it."""
        call_http("POST", f"{self.platform_url}/instances", entry)

    def unregister(self, name: str) -> None:
        """Remove an entry from the platform's list of instances."""
        call_http("DELETE", f"{self.platform_url}/instances/{name}")

    def set_platform_faults(self, **faults: object) -> None:
        """Change the given faults of the platform."""
        call_http("POST", f"{self.platform_url}/faults", faults)

    def add_engine(self, name: str, domain: str, partner: str = "") -> UpstreamProcess:
        """Start an engine and register it.

        :param partner: owner of the engine, empty for one that all partners share
        """
        start = partial(self._start_engine, name, domain, partner)
        return self._register_upstream(start_until_up(start, _format_load_url))

    def add_daemon(self, name: str, domain: str) -> Daemon:
        """Start an entry instance and register it.

        It replaces an instance of the same name in ``instances``.
        """
        start = partial(self._start_daemon, name, domain)
        return self._register_daemon(start_until_up(start, _format_health_url))

    def _register_upstream(self, upstream: UpstreamProcess) -> UpstreamProcess:
        self.upstreams.append(upstream)
        self.register(
            name=upstream.name,
            role=upstream.kind,
            domain=upstream.domain,
            partner=upstream.partner,
            url=upstream.url,
        )
        return upstream

    def _register_daemon(self, daemon: Daemon) -> Daemon:
        name = daemon.name
        self.instances = [known for known in self.instances if known.name != name]
        self.instances.append(daemon)
        self.register(name=name, role="entry", domain=daemon.domain, peer=daemon.peer)
        return daemon

    def _start_engine(
        self, name: str, domain: str, partner: str = ""
    ) -> UpstreamProcess:
        speed = ("--pace", str(self.pace), "--slots", str(self.slots))
        arguments = ("--name", name, "--model", MODEL, *speed)
        return self._start_upstream(name, domain, "engine", partner, *arguments)

    def _start_service(self, name: str, domain: str) -> UpstreamProcess:
        return self._start_upstream(name, domain, "service", "", "--name", SERVICE)

    def _start_upstream(
        self, name: str, domain: str, kind: str, partner: str, *arguments: str
    ) -> UpstreamProcess:
        port = pick_port()
        module = f"pondquay_standins.{kind}"
        process = self._spawn(name, module, "--port", str(port), *arguments)
        url = f"http://{HOST}:{port}"
        return UpstreamProcess(name, domain, kind, partner, url, process)

    def _start_daemon(self, name: str, domain: str) -> Daemon:
        endpoints = ("callers", "operators", "peers", "metrics")
        ports = {endpoint: pick_port() for endpoint in endpoints}
        path = self.folder / f"{name}.ini"
        path.write_text(self._format_settings(name, domain, ports))
        process = self._spawn(name, "pondquay_daemon", "--settings", str(path))
        return Daemon(
            name,
            domain,
            process,
            f"http://{HOST}:{ports['callers']}",
            f"http://{HOST}:{ports['operators']}",
            f"http://{HOST}:{ports['metrics']}",
            f"{HOST}:{ports['peers']}",
        )

    def _format_settings(self, name: str, domain: str, ports: dict[str, int]) -> str:
        sections: dict[str, dict[str, str]] = {
            "instance": {"name": name, "domain": domain},
            "listen": {endpoint: f"{HOST}:{port}" for endpoint, port in ports.items()},
            "platform": {"url": self.platform_url},
            "fleet": {"key_file": str(self.folder / "fleet.key")},
        }
        for partner, key in self.operator_keys.items():
            sections[f"partner {partner}"] = {"operator_key_digest": digest(key)}
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    # Operators

    def call_operator(
        self, partner: str, method: str, path: str, body: object = None, at: int = 0
    ) -> HttpResponse:
        """Call the operator endpoint of an instance."""
        headers = {
            "Authorization": f"Bearer {self.operator_keys[partner]}",
            "Content-Type": "application/json",
        }
        url = f"{self.instances[at].operator_url}{path}"
        return call_http(method, url, body, headers)

    def run_cli(
        self, partner: str, *arguments: str, operators: list[str] | None = None
    ) -> subprocess.CompletedProcess[str]:
        """Run the ``pondquay`` command as an operator of a partner.

        :param operators: operator endpoints to try, by default those of all instances
        """
        key_file = self.folder / f"{partner}.key"
        key_file.write_text(self.operator_keys[partner])
        urls = operators or [daemon.operator_url for daemon in self.instances]
        endpoints = [part for url in urls for part in ("--operator", url)]
        command = [sys.executable, "-m", "pondquay_cli", *endpoints]
        command += ["--key-file", str(key_file), *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=READY_SECONDS, check=False
        )

    def configure(self, partner: str, *entities: dict[str, Any]) -> int:
        """Plan and confirm entities of a partner, and return the new version."""
        entries = [{"partner": partner, **entity} for entity in entities]
        plan = self.call_operator(partner, "POST", "/plans", {"wanted": entries})
        if plan.status != 200:
            raise RuntimeError(plan.body.decode())
        path = f"/plans/{plan.json()['id']}/confirm"
        confirmed = self.call_operator(partner, "POST", path, {})
        if confirmed.status != 200:
            raise RuntimeError(confirmed.body.decode())
        version: int = confirmed.json()["version"]
        return version

    def wait_for_version(self, version: int, seconds: float = READY_SECONDS) -> float:
        """Wait until all running instances use a version or a later one.

        :returns: the elapsed seconds
        """
        live = [
            daemon for daemon in self.instances if daemon.process.popen.poll() is None
        ]
        return wait_until(
            lambda: all(
                daemon.metric("pondquay_configuration_version") >= version
                for daemon in live
            ),
            f"version {version} at all running instances",
            seconds,
        )

    # Callers

    def complete(
        self,
        key: str,
        text: str,
        at: int = 0,
        max_tokens: int = 16,
        headers: dict[str, str] | None = None,
        timeout: float = CALL_SECONDS,
    ) -> HttpResponse:
        """Request a chat completion."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
        }
        url = f"{self.instances[at].caller_url}/v1/chat/completions"
        return call_http("POST", url, body, self.caller_headers(key, headers), timeout)

    def caller_headers(
        self, key: str, headers: dict[str, str] | None = None
    ) -> dict[str, str]:
        """Return the headers of a caller's request."""
        return {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            **(headers or {}),
        }

    def describe(self, workspaces: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the fleet's processes and keys, the content of ``var/fleet.json``."""
        assert self.platform is not None
        return {
            "instances": [
                {
                    "name": daemon.name,
                    "domain": daemon.domain,
                    "caller_url": daemon.caller_url,
                    "operator_url": daemon.operator_url,
                    "metrics_url": daemon.metrics_url,
                    "pid": daemon.process.pid,
                }
                for daemon in self.instances
            ],
            "upstreams": [
                {
                    "name": upstream.name,
                    "domain": upstream.domain,
                    "kind": upstream.kind,
                    "url": upstream.url,
                    "pid": upstream.process.pid,
                }
                for upstream in self.upstreams
            ],
            "platform": {"url": self.platform_url, "pid": self.platform.pid},
            "workspaces": workspaces,
            "operators": [
                {"partner": partner, "key": key}
                for partner, key in self.operator_keys.items()
            ],
            "models": [MODEL],
            "services": [SERVICE],
        }


def _has_peers(daemon: Daemon, count: int) -> bool:
    return daemon.metric("pondquay_peers") >= count


def _format_load_url(upstream: UpstreamProcess) -> str:
    return f"{upstream.url}/v1/load"


def _format_health_url(daemon: Daemon) -> str:
    return f"{daemon.metrics_url}/health"
