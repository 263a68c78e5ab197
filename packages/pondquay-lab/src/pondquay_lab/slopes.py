"""Slopes: what one more of each thing costs, in bytes and microseconds.

``python -m pondquay_lab.slopes`` prints them; ``docs/CAPACITY.md`` reckons with them.
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

COUNT = 2000
REPEATS = 5
ME = InstanceId("entry-1", "0123456789ab")
PEER = InstanceId("entry-2", "ba9876543210")
PROMPT = (
    PromptPart("guide", 2_500),
    PromptPart("subject", 3_800),
    PromptPart("own", 2_900),
)


@dataclass(frozen=True, slots=True)
class Slope:
    """What one more costs.

    :param size: memory, in bytes
    :param seconds: processor time
    :param wire: bytes between instances
    """

    name: str
    size: float
    seconds: float
    wire: int = 0


def measure(name: str, build: Callable[[int], Any], wire: int = 0) -> Slope:
    """Build many of a thing and return what each cost; the fastest of some runs."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build(COUNT)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    times = []
    for _ in range(REPEATS):
        begun = perf_counter()
        build(COUNT)
        times.append(perf_counter() - begun)
    del kept
    return Slope(name, (after - before) / COUNT, min(times) / COUNT, wire)


def build_grants(count: int) -> Holder:
    """Build grants of as many workspaces."""
    holder = Holder(ME)
    for number in range(count):
        holding = holder.open(f"workspace-{number}", PEER)
        holder.set_amount(holding.id, 10_000)
    return holder


def build_attempts(count: int) -> tuple[Holder, Witness]:
    """Reserve, tell the witness, and have acknowledged as many attempts."""
    holder, witness = Holder(ME), Witness(max_open=10 * COUNT)
    holding = holder.open("workspace", PEER)
    holder.set_amount(holding.id, 10**9)
    for number in range(count):
        request = RequestName("workspace", f"key-{number:08d}")
        holder.reserve(request, 500, "engine-1", lambda _: True, "boot")
        for message in holder.take_messages(PEER):
            response = witness.receive(message)
            if response is not None and response.kind == "acknowledge":
                holder.acknowledge(response.grant, response.seqs)
    return holder, witness


def build_document(count: int) -> Document:
    """Apply as many changes, each of a workspace with its budget."""
    document = Document()
    for number in range(count):
        name = f"workspace-{number}"
        digest = f"sha256:{number:064x}"
        entities = (
            Workspace(name=name, partner="khuree", key_digest=digest),
            Budget(name=name, partner="khuree", tokens=1000),
        )
        changes = tuple(Change(before=None, after=one) for one in entities)
        delta = Delta(version=number + 1, plan="p", changes=changes)
        document = document.apply(delta)
    return document


def build_peers(count: int) -> Peers:
    """Hear as many peers once."""
    peers = Peers("hall-a")
    for number in range(count):
        heartbeat = Heartbeat(InstanceId(f"e{number}", "b"), "hall-a", 3, False)
        frame = encode_message(heartbeat)
        peers.receive(decode_message(frame), 1.0)
    return peers


def build_upstreams(count: int) -> list[Upstream]:
    """Know as many upstreams, each with a report."""
    upstreams = []
    for number in range(count):
        upstream = Upstream(f"engine-{number}", ENGINE, "hall-a", "http://h", "khuree")
        upstream.apply_report(LoadReport(5, 16, 1.0, 3, (("judge", "v1"),), "boot"))
        upstreams.append(upstream)
    return upstreams


@cache
def know_upstreams(count: int) -> list[KnownUpstream]:
    """Know as many upstreams as a relay does, half of which have read the prompt."""
    known = []
    for number in range(count):
        record = UpstreamRecord(
            f"u{number}", "judge", Address("10.0.0.1", 80), "hall-a", 64
        )
        upstream = KnownUpstream(record, 1)
        if number % 2:
            upstream.prompts.note_prefilled(["guide", "subject"])
        known.append(upstream)
    return known


def choose_among(count: int) -> KnownUpstream:
    """Choose one of as many upstreams for one prompt."""
    return choose_by_prompt(know_upstreams(count), PROMPT, 0.0)


def find_source_among(count: int) -> KnownUpstream | None:
    """Look among as many upstreams for one to copy a prompt's shared parts from."""
    known = know_upstreams(count)
    return choose_source(known[0], known, PROMPT)


def measure_all() -> list[Slope]:
    """Measure every slope."""
    holder, _ = build_attempts(1)
    holding = holder.list_holdings()[0]
    intents = tuple(one.intent for one in holding.attempts.values())
    intend = len(encode_message(Intend(holding.id, "workspace", intents)))
    beat = len(encode_message(Heartbeat(ME, "hall-a", 1000, False)))
    return [
        measure("grant held", build_grants),
        measure("attempt, at holder and witness", build_attempts, intend),
        measure("workspace with budget in the configuration", build_document),
        measure("peer, one heartbeat", build_peers, beat),
        measure("upstream with a report", build_upstreams),
        measure("upstream that a prompt may go to", choose_among),
        measure("upstream that a prompt may be copied from", find_source_among),
    ]


def main() -> None:
    """Print the slopes."""
    for one in measure_all():
        print(
            f"{one.name:44} {one.size:8.0f} bytes {1e6 * one.seconds:8.1f} us "
            f"{one.wire:5d} bytes on the wire"
        )


if __name__ == "__main__":
    main()
