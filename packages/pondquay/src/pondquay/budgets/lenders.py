"""Chooses the instances that hold allotments of a workspace and lend to the others.

In a small fleet all instances hold allotments. In a larger one the row would have too
many writers, so rendezvous hashing chooses a few instances of each failure domain: all
instances choose the same without messages, and the workspaces are spread over the
fleet.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay.policy import DEFAULT_POLICY
from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Mapping

LENDERS_PER_DOMAIN = 2


def choose_lenders(
    workspace: str,
    domains: Mapping[str, str],
    most_holders: int = DEFAULT_POLICY.most_holders,
) -> frozenset[str]:
    """Return the instances that hold allotments of a workspace.

    :param domains: the failure domain of each instance of the fleet
    :param most_holders: the largest fleet in which all instances hold allotments
    """
    if len(domains) <= most_holders:
        return frozenset(domains)
    by_domain: dict[str, list[str]] = defaultdict(list)
    for instance, domain in domains.items():
        by_domain[domain].append(instance)
    chosen: set[str] = set()
    for members in by_domain.values():
        ranked = sorted(
            members, key=lambda instance_name: score_pair(workspace, instance_name)
        )
        chosen.update(ranked[:LENDERS_PER_DOMAIN])
    return frozenset(chosen)
