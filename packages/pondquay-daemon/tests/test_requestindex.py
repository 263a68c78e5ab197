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


def test_exactly_one_of_concurrently_searching_instances_proceeds() -> None:
    indexes = {instance: RequestIndex() for instance in INSTANCES}
    for index in indexes.values():
        index.begin(make_call())
    for order in permutations(INSTANCES):
        proceeding = [
            requester
            for requester in order
            if not any(
                indexes[peer].takes_precedence(REQUEST, peer, requester)
                for peer in INSTANCES
                if peer != requester
            )
        ]
        assert proceeding == [INSTANCES[0]]


def test_an_instance_that_finished_its_search_takes_precedence() -> None:
    indexes = {instance: RequestIndex() for instance in INSTANCES[:2]}
    first, second = indexes
    indexes[second].begin(make_call())
    indexes[second].note_none_found(make_call())
    indexes[first].begin(make_call())
    assert indexes[second].takes_precedence(REQUEST, second, first)
    indexes[second].end(make_call())
    assert not indexes[second].takes_precedence(REQUEST, second, first)
