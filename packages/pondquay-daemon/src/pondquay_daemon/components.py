"""The parts of one entry instance that its operator and metrics endpoints use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay.names import InstanceId
    from pondquay_daemon.configuration import ConfigurationTask
    from pondquay_daemon.grants import GrantTask
    from pondquay_daemon.metrics import Metrics
    from pondquay_daemon.peers import PeerTask
    from pondquay_daemon.platform import Platform
    from pondquay_daemon.runner import Runner
    from pondquay_daemon.settings import Settings
    from pondquay_daemon.upstreams import Upstreams


@dataclass(slots=True)
class InstanceComponents:
    """Tasks and settings of an instance.

    :param stopping: whether a planned stop has started
    """

    settings: Settings
    instance: InstanceId
    domain: str
    metrics: Metrics
    platform: Platform
    peers: PeerTask
    configuration: ConfigurationTask
    upstreams: Upstreams
    grants: GrantTask
    runner: Runner
    stopping: bool = False

    @property
    def ready(self) -> bool:
        """Whether the load balancer should route callers to this instance."""
        return self.configuration.loaded and not self.stopping
