from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.budgets.messages import Intend, Intent, Settle, Settlement
from pondquay.membership.messages import FoundRequest, Heartbeat
from pondquay.names import AttemptId, GrantId, InstanceId, RequestName
from pondquay_daemon.errors import LinkError
from pondquay_daemon.wire import decode_message, encode_message

GRANT = GrantId(InstanceId("entry-1", "ab"), 7)
REQUEST = RequestName("captions", "k1")
MESSAGES = [
    Intend(GRANT, "captions", (Intent(1, REQUEST, 50, "engine-1", "s1"),)),
    Settle(GRANT, "captions", (Settlement(1, REQUEST, None),)),
    Heartbeat(GRANT.holder, "hall-a", 3, False, ("engine-2",)),
    FoundRequest(4, AttemptId(GRANT, 2), "engine-1", "s2", 10, True),
    FoundRequest(5),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda sample: sample.kind)
def test_messages_round_trip(message: object) -> None:
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=200))
def test_random_bytes_raise_a_link_error(frame: bytes) -> None:
    with pytest.raises(LinkError):
        decode_message(frame)


scalars = st.none() | st.booleans() | st.integers(-(2**31), 2**31) | st.text(max_size=9)
values = st.recursive(scalars, lambda inner: st.lists(inner, max_size=4), max_leaves=9)


@given(st.sampled_from(MESSAGES), st.lists(values, max_size=7))
def test_wrong_fields_are_rejected(message: Heartbeat, fields: list[object]) -> None:
    frame = msgpack.packb([1, message.kind, *fields])
    try:
        decoded = decode_message(frame)
    except LinkError:
        return
    assert decode_message(encode_message(decoded)) == decoded
