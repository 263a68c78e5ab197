from __future__ import annotations

from itertools import permutations

from pondquay.configuration.entities import Priority, Workspace
from pondquay.names import InstanceId, RequestName
from pondquay_daemon.calls import Call
from pondquay_daemon.requestindex import RequestIndex

REQUEST = RequestName("captions", "one")
INSTANCES = [InstanceId(name, "1") for name in "abcd"]


def make_call() -> Call:
    workspace = Workspace.model_construct(kind="workspace", name="captions")
    return Call(REQUEST, workspace, True, False, Priority.NORMAL, 1.0, "content")


def test_of_instances_that_look_at_once_exactly_one_goes_on() -> None:
    indexes = {one: RequestIndex() for one in INSTANCES}
    for index in indexes.values():
        index.begin(make_call())
    for order in permutations(INSTANCES):
        going_on = [
            requester
            for requester in order
            if not any(
                indexes[peer].runs_before(REQUEST, peer, requester)
                for peer in INSTANCES
                if peer != requester
            )
        ]
        assert going_on == [INSTANCES[0]]


def test_one_that_found_none_runs_before_all_that_still_look() -> None:
    indexes = {one: RequestIndex() for one in INSTANCES[:2]}
    first, second = indexes
    indexes[second].begin(make_call())
    indexes[second].found_none(make_call())
    indexes[first].begin(make_call())
    assert indexes[second].runs_before(REQUEST, second, first)
    indexes[second].end(make_call())
    assert not indexes[second].runs_before(REQUEST, second, first)
