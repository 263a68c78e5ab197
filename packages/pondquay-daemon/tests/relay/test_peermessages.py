"""Bytes from a peer are decoded to valid messages or raise an error."""

from __future__ import annotations

from typing import get_args

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pondquay.routing.crashes import CrashReport
from pondquay.routing.upstreamrecords import Departure
from pondquay_daemon.relay.errors import MalformedValueError
from pondquay_daemon.relay.messagecodec import INITIAL_BUFFER_BYTES
from pondquay_daemon.relay.peermessages import (
    MESSAGE_TYPES,
    ConfigurationValue,
    CrashStates,
    Heartbeat,
    MessageReader,
    PeerMessage,
    UpstreamDepartures,
    encode_message,
)

CONTENT = bytes(range(16))
packed_values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**64 - 1),
        st.floats(),
        st.text(max_size=8),
        st.binary(max_size=20),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=10,
)


@given(st.sampled_from([*MESSAGE_TYPES, 0, 99]), st.lists(packed_values, max_size=4))
def test_any_fields_are_a_valid_message_or_an_error(
    code: int, fields: list[object]
) -> None:
    try:
        messages = MessageReader().feed(msgpack.packb([code, *fields]))
    except MalformedValueError:
        return
    for message in messages:
        assert MessageReader().feed(encode_message(message)) == [message]


@given(packed_values)
def test_any_value_is_a_message_or_an_error(value: object) -> None:
    try:
        MessageReader().feed(msgpack.packb(value))
    except MalformedValueError:
        return


@given(st.binary(max_size=200))
def test_any_bytes_are_messages_or_an_error(data: bytes) -> None:
    try:
        MessageReader().feed(data)
    except MalformedValueError:
        return


def test_a_message_of_an_unknown_kind_is_ignored() -> None:
    reader = MessageReader()
    data = msgpack.packb([99, "whatever"]) + encode_message(Heartbeat(3))
    assert reader.feed(data) == [Heartbeat(3)]


@pytest.mark.parametrize(
    "message",
    [
        UpstreamDepartures.pack([Departure("u1", 7, 5), Departure("u2")]),
        CrashStates.pack(
            [
                CrashReport(
                    CONTENT,
                    frozenset({"u1@5", "u2"}),
                    frozenset({"u2"}),
                    3,
                    {"u1@5": 482.5, "u2": 0.0},
                    1,
                    2,
                )
            ]
        ),
    ],
)
def test_announcements_are_unchanged_by_encoding_and_decoding(
    message: UpstreamDepartures | CrashStates,
) -> None:
    (decoded,) = MessageReader().feed(encode_message(message))
    assert decoded == message
    assert type(decoded).pack(decoded.unpack()) == message


def test_each_kind_of_message_has_its_own_code() -> None:
    assert len(MESSAGE_TYPES) == len(set(MESSAGE_TYPES.values()))
    assert {kind.CODE for kind in get_args(PeerMessage)} == set(MESSAGE_TYPES)
    assert len(get_args(PeerMessage)) == len(MESSAGE_TYPES)


# Guards against a buffer of a link that does not grow to a long message.
def test_a_message_longer_than_the_initial_buffer_is_read_from_its_parts() -> None:
    heartbeat = Heartbeat(7)
    value = ConfigurationValue(8, bytes(40 * INITIAL_BUFFER_BYTES))
    data = encode_message(value) + encode_message(heartbeat)
    reader = MessageReader()
    messages = []
    for start in range(0, len(data), INITIAL_BUFFER_BYTES - 1):
        messages += reader.feed(data[start : start + INITIAL_BUFFER_BYTES - 1])
    assert messages == [value, heartbeat]
