"""Gauges that are read from the components of a relay when metrics are requested."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pondquay_daemon.relay.components import RelayComponents


def update_gauges(components: RelayComponents) -> None:
    """Set the gauges of all components."""
    _update_upstream_gauges(components)
    _update_account_gauges(components)
    _update_load_gauges(components)


def _update_upstream_gauges(components: RelayComponents) -> None:
    metrics, directory = components.metrics, components.directory
    metrics.upstreams.set(directory.count_present())
    metrics.backoff.set(directory.count_backing_off())
    metrics.limited.set(directory.count_limited())
    metrics.evacuated.set(len(directory.evacuations.evacuated))
    metrics.evacuations_version.set(directory.evacuations.version)
    metrics.busiest.set(components.activity.find_busiest())
    metrics.slow_upstreams.set(components.placement.count_slow())
    metrics.stream_origins.set(components.streams.origin_count)
    crashes = components.crashes
    metrics.blocked.set(len(crashes.history.blocked()))
    metrics.blocked_parts.set(len(crashes.parts.history.blocked()))
    metrics.blocked_waiting_parts.set(len(crashes.waiting_parts.history.blocked()))


def _update_account_gauges(components: RelayComponents) -> None:
    metrics, accounts = components.metrics, components.accounts
    metrics.unspent.set(accounts.unspent())
    metrics.reserved.set(accounts.reserved())
    metrics.unaccounted.set(accounts.unaccounted())
    metrics.held.set(accounts.held_by_demand())
    metrics.removals.set(accounts.planned_removals())


def _update_load_gauges(components: RelayComponents) -> None:
    metrics, buffers = components.metrics, components.buffers
    detector, queues = components.overload.detector, components.queues
    metrics.load_level.set(int(detector.level))
    metrics.added_delay.set(detector.delay)
    metrics.kept.set(buffers.total)
    metrics.bodies_waiting.set(buffers.count_waiting())
    metrics.unread.set(buffers.count_unread())
    metrics.broken_off.set(buffers.discarded)
    metrics.waiting.set(queues.count_waiting())
    metrics.short_services.set(queues.count_short())
