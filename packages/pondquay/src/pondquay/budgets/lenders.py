"""Which instances hold a workspace's allotments, and lend from them to the others.

In a small fleet all do. In a larger one the row would have too many writers, so a few
instances of each domain do, chosen by rendezvous hashing: all agree without a message,
and each instance does it for its part of the workspaces.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay.routing.rendezvous import score_pair

if TYPE_CHECKING:
    from collections.abc import Mapping

# Up to this many instances all hold allotments of every workspace.
SMALL_FLEET = 16
LENDERS_OF_DOMAIN = 2


def choose_lenders(workspace: str, domains: Mapping[str, str]) -> frozenset[str]:
    """Return the instances that hold allotments of a workspace.

    :param domains: the domain of each instance of the fleet
    """
    if len(domains) <= SMALL_FLEET:
        return frozenset(domains)
    by_domain: dict[str, list[str]] = defaultdict(list)
    for instance, domain in domains.items():
        by_domain[domain].append(instance)
    chosen: set[str] = set()
    for members in by_domain.values():
        ranked = sorted(members, key=lambda one: score_pair(workspace, one))
        chosen.update(ranked[:LENDERS_OF_DOMAIN])
    return frozenset(chosen)
