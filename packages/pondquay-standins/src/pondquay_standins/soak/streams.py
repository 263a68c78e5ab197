"""Checks of streams while replicas of several software versions serve."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from pondquay_standins.routedfleet import ENGINE_SERVICE
from pondquay_standins.soak.callers import OK, RESUMABLE_ROUTE, Call, read_events
from pondquay_standins.soak.invariants import Violation
from pondquay_standins.soak.sizes import REPLICAS, SOFTWARE

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from pondquay_standins.soak.upstreamsignals import Disturbances

VERSION_INVARIANT = "a stream has events of one software version"
CONTINUING_INVARIANT = "streams that callers take up go on"
# Time for which a relay or replica must not have been disturbed before a call.
QUIET_SECONDS = 3.0
# Taken up streams from which their share is judged, and how small it may be as a
# fraction of the share of new streams that begin.
MIN_TAKEN_UP = 12
MIN_CONTINUED_FRACTION = 0.5


def check_versions(
    calls: Iterable[Call], disturbances: Disturbances
) -> list[Violation]:
    """Return a violation for each stream with events of several versions.

    :param disturbances: excuse relays whose build does not keep versions apart
    """
    violations = []
    for stream, tries in group_by_stream(calls).items():
        versions = list_versions(tries)
        excused = any(
            disturbances.any_within([call.relay], call.began, call.ended)
            for call in tries
        )
        if len(versions) > 1 and not excused:
            relays = ", ".join(call.relay for call in tries)
            details = f"{sorted(versions)} in {len(tries)} tries at {relays}"
            violations.append(Violation(VERSION_INVARIANT, stream, details))
    return violations


def check_continuing(
    calls: Sequence[Call], disturbances: Disturbances, leaving: Collection[str]
) -> list[Violation]:
    """Return a violation if too few of the streams that are taken up go on.

    Only calls at undisturbed relays count, and streams of versions all of whose
    replicas serve without disturbance.

    :param leaving: replicas that leave or have left during the run, or changed to
        another version
    """
    streams = group_by_stream(calls)
    taken_up, begun = [], []
    for call in calls:
        if call.route != RESUMABLE_ROUTE or not _is_quiet(
            call, [call.relay], disturbances
        ):
            continue
        if not call.after:
            begun.append(call)
            continue
        for version in list_versions(streams[call.stream]):
            replicas = [
                name
                for name, other in SOFTWARE.items()
                if other == version and REPLICAS[name] == ENGINE_SERVICE
            ]
            # A version that came during the run may leave in it as well.
            if not replicas:
                continue
            if not set(replicas) & set(leaving) and _is_quiet(
                call, replicas, disturbances
            ):
                taken_up.append(call)
    if len(taken_up) < MIN_TAKEN_UP or not begun:
        return []
    share, needed = count_share(taken_up), MIN_CONTINUED_FRACTION * count_share(begun)
    if share >= needed:
        return []
    details = f"{share:.2f} of {len(taken_up)}, at least {needed:.2f}"
    return [Violation(CONTINUING_INVARIANT, "callers", details)]


def drop_outlasting(calls: Sequence[Call], losses: Sequence[float]) -> list[Call]:
    """Return the calls without those of streams that began before a loss of all relays.

    :param losses: times of the losses, in seconds of the monotonic clock
    """
    began = {
        stream: min(call.began for call in tries)
        for stream, tries in group_by_stream(calls).items()
    }
    return [
        call
        for call in calls
        if not any(began[call.stream] <= loss <= call.ended for loss in losses)
    ]


def group_by_stream(calls: Iterable[Call]) -> dict[str, list[Call]]:
    """Return the calls of each stream, by the attempt that began it."""
    streams: defaultdict[str, list[Call]] = defaultdict(list)
    for call in calls:
        streams[call.stream].append(call)
    return streams


def list_versions(calls: Iterable[Call]) -> set[str]:
    """Return the software versions of all events that the calls received."""
    return {version for call in calls for _, version in read_events(call.body)}


def count_share(calls: Sequence[Call]) -> float:
    """Return the share of calls whose stream began or went on."""
    served = sum(call.status == OK and bool(read_events(call.body)) for call in calls)
    return served / len(calls)


def _is_quiet(call: Call, targets: Collection[str], disturbances: Disturbances) -> bool:
    return not disturbances.any_within(targets, call.began - QUIET_SECONDS, call.ended)
