"""The state dump of an instance, bounded and without secrets and payloads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pondquay.budgets.holdings import Holding
    from pondquay.budgets.witness import WitnessedGrant
    from pondquay_daemon.components import InstanceComponents

MAX_ITEMS = 500


def dump_state(components: InstanceComponents) -> dict[str, Any]:
    """Return an instance's state for JSON, with at most ``MAX_ITEMS`` of each list."""
    holder = components.grants.holder
    witness = components.grants.witness
    return {
        "instance": str(components.instance),
        "domain": components.domain,
        "stopping": components.stopping,
        "version": components.configuration.document.version,
        "platform": {
            "reachable": components.platform.reachable,
            "reads": components.platform.reads,
            "writes": components.platform.writes,
        },
        "peers": [
            {
                "instance": str(peer.instance),
                "domain": peer.domain,
                "version": peer.version,
            }
            for peer in list(components.peers.table.known.values())[:MAX_ITEMS]
        ],
        "upstreams": [
            {
                "name": upstream.name,
                "state": upstream.state.value,
                "running": upstream.running,
                "outstanding": upstream.outstanding,
                "circuit_failures": upstream.circuit.failures,
            }
            for upstream in list(components.upstreams.known.values())[:MAX_ITEMS]
        ],
        "running": [
            str(request)
            for request in list(components.runner.index.running)[:MAX_ITEMS]
        ],
        "waiting": components.upstreams.count_waiting(),
        "holdings": [
            _dump_holding(holding)
            for holding in list(holder.holdings.values())[:MAX_ITEMS]
        ],
        "witnessed": [
            _dump_witnessed(grant)
            for grant in list(witness.grants.values())[:MAX_ITEMS]
        ],
        # Bills since start that were not recorded in time.
        "bills_in_one_memory": components.grants.unrecorded_bills,
    }


def _dump_holding(holding: Holding) -> dict[str, Any]:
    return {
        "grant": str(holding.id),
        "workspace": holding.workspace,
        "state": holding.state.value,
        "witness": str(holding.witness) if holding.witness else None,
        "amount": holding.amount,
        "spent": holding.spent,
        "reserved": holding.reserved,
        "attempts": len(holding.attempts),
    }


def _dump_witnessed(grant: WitnessedGrant) -> dict[str, Any]:
    return {
        "grant": str(grant.id),
        "workspace": grant.workspace,
        "sealed": grant.sealed,
        "open": len(grant.open),
        "bills": len(grant.bills),
        "spent": grant.spent,
    }
