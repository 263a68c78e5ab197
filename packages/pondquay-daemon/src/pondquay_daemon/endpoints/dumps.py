"""The dump of an instance's state: everything but secrets and payloads, bounded."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pondquay.budgets.holdings import Holding
    from pondquay.budgets.witness import WitnessedGrant
    from pondquay_daemon.components import InstanceComponents

MAX_ITEMS = 500


def dump_state(components: InstanceComponents) -> dict[str, Any]:
    """Return the state of an instance as JSON objects."""
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
                "instance": str(one.instance),
                "domain": one.domain,
                "version": one.version,
            }
            for one in list(components.peers.table.known.values())[:MAX_ITEMS]
        ],
        "upstreams": [
            {
                "name": one.name,
                "state": one.state.value,
                "running": one.running,
                "outstanding": one.outstanding,
                "circuit_failures": one.circuit.failures,
            }
            for one in list(components.upstreams.known.values())[:MAX_ITEMS]
        ],
        "running": [
            str(one) for one in list(components.runner.index.running)[:MAX_ITEMS]
        ],
        "waiting": components.upstreams.waiting(),
        "holdings": [
            _dump_holding(one) for one in list(holder.holdings.values())[:MAX_ITEMS]
        ],
        "witnessed": [
            _dump_witnessed(one) for one in list(witness.grants.values())[:MAX_ITEMS]
        ],
        "bills_in_one_memory": components.grants.unsafe_bills,
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
