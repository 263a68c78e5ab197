"""Which instances hold a workspace's allotments, and lend from them to the others.

In a small fleet all do. In a larger one the row would have too many writers, so a few
instances of each domain do, chosen by rendezvous hashing: all agree without a message,
and each instance does it for its part of the workspaces.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay.policy import DEFAULT_POLICY
from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Mapping

LENDERS_OF_DOMAIN = 2


def choose_lenders(
    workspace: str,
    domains: Mapping[str, str],
    most_holders: int = DEFAULT_POLICY.most_holders,
) -> frozenset[str]:
    """Return the instances that hold allotments of a workspace.

    :param domains: the domain of each instance of the fleet
    :param most_holders: instances up to which all hold some
    """
    if len(domains) <= most_holders:
        return frozenset(domains)
    by_domain: dict[str, list[str]] = defaultdict(list)
    for instance, domain in domains.items():
        by_domain[domain].append(instance)
    chosen: set[str] = set()
    for members in by_domain.values():
        ranked = sorted(members, key=lambda one: score_pair(workspace, one))
        chosen.update(ranked[:LENDERS_OF_DOMAIN])
    return frozenset(chosen)
