"""Marginal memory and time of grants, attempts, peers, upstreams and other items.

``python -m pondquay_lab.slopes`` prints them; ``docs/CAPACITY.md`` is based on them.
"""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import dataclass
from functools import cache
from time import perf_counter
from typing import TYPE_CHECKING, Any

from pondquay.addresses import Address
from pondquay.budgets.holder import Holder
from pondquay.budgets.messages import Intend
from pondquay.budgets.witness import Witness
from pondquay.configuration.changes import Change
from pondquay.configuration.documents import Delta, Document
from pondquay.configuration.entities import Budget, Workspace
from pondquay.membership.messages import Heartbeat
from pondquay.membership.peers import Peers
from pondquay.names import InstanceId, RequestName
from pondquay.routing.copies import choose_source
from pondquay.routing.knownupstreams import KnownUpstream
from pondquay.routing.prompts import PromptPart
from pondquay.routing.rendezvous import choose_by_prompt
from pondquay.routing.upstreamrecords import UpstreamRecord
from pondquay.routing.upstreams import ENGINE, LoadReport, Upstream
from pondquay_daemon.wire import decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable

ITEM_COUNT = 2000
REPEATS = 5
OWN_ID = InstanceId("entry-1", "0123456789ab")
PEER_ID = InstanceId("entry-2", "ba9876543210")
PROMPT = (
    PromptPart("guide", 2_500),
    PromptPart("subject", 3_800),
    PromptPart("own", 2_900),
)


@dataclass(frozen=True, slots=True)
class MarginalCost:
    """Cost of one more item of a kind.

    :param memory_bytes: allocated memory
    :param seconds: time to build the item, or to consider it in a choice
    :param wire_bytes: size of the message between instances, 0 if there is none
    """

    name: str
    memory_bytes: float
    seconds: float
    wire_bytes: int = 0


def measure(
    name: str, build: Callable[[int], Any], wire_bytes: int = 0
) -> MarginalCost:
    """Return the cost of one item, with the time of the fastest of several runs.

    :param build: builds a number of items
    """
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    items = build(ITEM_COUNT)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    times = []
    for _ in range(REPEATS):
        started = perf_counter()
        build(ITEM_COUNT)
        times.append(perf_counter() - started)
    del items
    return MarginalCost(
        name, (after - before) / ITEM_COUNT, min(times) / ITEM_COUNT, wire_bytes
    )


def build_grants(count: int) -> Holder:
    """Return a holder with a grant for each of a number of workspaces."""
    holder = Holder(OWN_ID)
    for number in range(count):
        holding = holder.open(f"workspace-{number}", PEER_ID)
        holder.set_amount(holding.id, 10_000)
    return holder


def build_attempts(count: int) -> tuple[Holder, Witness]:
    """Return a holder and a witness with a number of acknowledged attempts."""
    holder, witness = Holder(OWN_ID), Witness(max_open=10 * ITEM_COUNT)
    holding = holder.open("workspace", PEER_ID)
    holder.set_amount(holding.id, 10**9)
    for number in range(count):
        request = RequestName("workspace", f"key-{number:08d}")
        holder.reserve(request, 500, "engine-1", lambda _: True, "boot")
        for message in holder.take_messages(PEER_ID):
            response = witness.receive(message)
            if response is not None and response.kind == "acknowledge":
                holder.acknowledge(response.grant, response.seqs)
    return holder, witness


def build_document(count: int) -> Document:
    """Return a document after a number of changes, each of a workspace and budget."""
    document = Document()
    for number in range(count):
        name = f"workspace-{number}"
        digest = f"sha256:{number:064x}"
        entities = (
            Workspace(name=name, partner="khuree", key_digest=digest),
            Budget(name=name, partner="khuree", tokens=1000),
        )
        changes = tuple(Change(before=None, after=entity) for entity in entities)
        delta = Delta(version=number + 1, plan="p", changes=changes)
        document = document.apply(delta)
    return document


def build_peers(count: int) -> Peers:
    """Return a peer list after one heartbeat from each of a number of peers."""
    peers = Peers("hall-a")
    for number in range(count):
        heartbeat = Heartbeat(InstanceId(f"e{number}", "b"), "hall-a", 3, False)
        frame = encode_message(heartbeat)
        peers.receive(decode_message(frame), 1.0)
    return peers


def build_upstreams(count: int) -> list[Upstream]:
    """Return a number of upstreams, each with a load report."""
    upstreams = []
    for number in range(count):
        upstream = Upstream(f"engine-{number}", ENGINE, "hall-a", "http://h", "khuree")
        upstream.apply_report(LoadReport(5, 16, 1.0, 3, (("judge", "v1"),), "boot"))
        upstreams.append(upstream)
    return upstreams


# Cached, so that the timed runs measure only the choice.
@cache
def build_known_upstreams(count: int) -> list[KnownUpstream]:
    """Return a number of upstreams, half of which have the prompt's prefix cached."""
    upstreams = []
    for number in range(count):
        record = UpstreamRecord(
            f"u{number}", "judge", Address("10.0.0.1", 80), "hall-a", 64
        )
        upstream = KnownUpstream(record, 1)
        if number % 2:
            upstream.prompts.note_prefilled(["guide", "subject"])
        upstreams.append(upstream)
    return upstreams


def choose_upstream(count: int) -> KnownUpstream:
    """Choose an upstream for a prompt from a number of candidates."""
    return choose_by_prompt(build_known_upstreams(count), PROMPT, 0.0)


def find_copy_source(count: int) -> KnownUpstream | None:
    """Choose the upstream whose cached parts of a prompt should be copied."""
    upstreams = build_known_upstreams(count)
    return choose_source(upstreams[0], upstreams, PROMPT)


def measure_all() -> list[MarginalCost]:
    """Return the marginal costs of all kinds of items."""
    holder, _ = build_attempts(1)
    holding = holder.list_holdings()[0]
    intents = tuple(attempt.intent for attempt in holding.attempts.values())
    intend_bytes = len(encode_message(Intend(holding.id, "workspace", intents)))
    heartbeat_bytes = len(encode_message(Heartbeat(OWN_ID, "hall-a", 1000, False)))
    return [
        measure("grant held", build_grants),
        measure("attempt, at holder and witness", build_attempts, intend_bytes),
        measure("workspace with budget in the configuration", build_document),
        measure("peer, one heartbeat", build_peers, heartbeat_bytes),
        measure("upstream with a report", build_upstreams),
        measure("upstream that a prompt may go to", choose_upstream),
        measure("upstream that a prompt may be copied from", find_copy_source),
    ]


def main() -> None:
    """Print the marginal costs."""
    for cost in measure_all():
        print(
            f"{cost.name:44} {cost.memory_bytes:8.0f} bytes "
            f"{1e6 * cost.seconds:8.1f} us {cost.wire_bytes:5d} bytes on the wire"
        )


if __name__ == "__main__":
    main()
