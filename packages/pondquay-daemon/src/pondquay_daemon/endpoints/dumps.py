"""The dump of an instance's state: everything but secrets and payloads, bounded."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pondquay.budgets.holdings import Holding
    from pondquay.budgets.witness import WitnessedGrant
    from pondquay_daemon.parts import InstanceParts

MOST_ITEMS = 500


def dump_state(parts: InstanceParts) -> dict[str, Any]:
    """Return the state of an instance as JSON objects."""
    holder = parts.grants.holder
    witness = parts.grants.witness
    return {
        "instance": str(parts.instance),
        "domain": parts.domain,
        "stopping": parts.stopping,
        "version": parts.configuration.document.version,
        "platform": {
            "reachable": parts.platform.reachable,
            "reads": parts.platform.reads,
            "writes": parts.platform.writes,
        },
        "peers": [
            {
                "instance": str(one.instance),
                "domain": one.domain,
                "version": one.version,
            }
            for one in list(parts.peers.table.known.values())[:MOST_ITEMS]
        ],
        "upstreams": [
            {
                "name": one.name,
                "state": one.state.value,
                "running": one.running,
                "outstanding": one.outstanding,
                "circuit_failures": one.circuit.failures,
            }
            for one in list(parts.upstreams.known.values())[:MOST_ITEMS]
        ],
        "running": [str(one) for one in list(parts.runner.index.running)[:MOST_ITEMS]],
        "waiting": parts.upstreams.waiting(),
        "holdings": [
            _dump_holding(one) for one in list(holder.holdings.values())[:MOST_ITEMS]
        ],
        "witnessed": [
            _dump_witnessed(one) for one in list(witness.grants.values())[:MOST_ITEMS]
        ],
        "bills_in_one_memory": parts.grants.unsafe_bills,
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
