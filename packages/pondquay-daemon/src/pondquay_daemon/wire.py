"""Messages between instances as msgpack: ``[version, kind, field, field, ...]``.

Data classes inside a message are arrays of their fields without names. Received
messages are validated field by field.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, is_dataclass
from types import NoneType, UnionType
from typing import Any, Literal, Union, get_args, get_origin, get_type_hints

import msgpack

from pondquay.budgets import messages as budget_messages
from pondquay.membership import messages as membership_messages
from pondquay_daemon.errors import LinkError

WIRE_VERSION = 1
MAX_FRAME_BYTES = 1 << 20
MAX_ITEMS = 20_000


@dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side.

    :param nonce: random bytes, unique to the connection
    """

    nonce: bytes
    kind: Literal["challenge"] = "challenge"


@dataclass(frozen=True, slots=True)
class Proof:
    """Proof of the dialling side that it knows the fleet's key.

    :param nonce: random bytes, for the digest of the welcome
    """

    name: str
    boot: str
    domain: str
    nonce: bytes
    digest: bytes
    kind: Literal["proof"] = "proof"


@dataclass(frozen=True, slots=True)
class Welcome:
    """Proof of the accepting side that it knows the fleet's key.

    It ends the handshake.
    """

    name: str
    boot: str
    domain: str
    digest: bytes
    kind: Literal["welcome"] = "welcome"


Message = Any
_TYPES: dict[str, type[Any]] = {}
_HINTS: dict[type[Any], dict[str, Any]] = {}


def _register(*types: type[Any]) -> None:
    for message_type in types:
        kind = next(
            field.default for field in fields(message_type) if field.name == "kind"
        )
        _TYPES[str(kind)] = message_type


_register(
    Challenge,
    Proof,
    Welcome,
    budget_messages.Intend,
    budget_messages.Acknowledge,
    budget_messages.Refuse,
    budget_messages.Settle,
    budget_messages.Settled,
    budget_messages.SettleRefused,
    budget_messages.Flushed,
    budget_messages.Forget,
    budget_messages.Recall,
    membership_messages.Heartbeat,
    membership_messages.FindRequest,
    membership_messages.FoundRequest,
    membership_messages.FetchDeltas,
    membership_messages.Deltas,
)


def encode_message(message: Message) -> bytes:
    """Encode a message as a frame."""
    packed: bytes = msgpack.packb([WIRE_VERSION, message.kind, *_pack(message)])
    return packed


def decode_message(frame: bytes) -> Message:
    """Decode a frame.

    :raises LinkError: if it is not a valid message of this wire version
    """
    try:
        content = msgpack.unpackb(
            frame, max_array_len=MAX_ITEMS, max_map_len=0, max_ext_len=0
        )
        version, kind, *values = content
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise LinkError(f"malformed frame: {error}") from error
    if version != WIRE_VERSION:
        raise LinkError(
            f"wire version {version!r} is not supported, expected {WIRE_VERSION}"
        )
    message_type = _TYPES.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        raise LinkError(f"unknown message kind {kind!r}")
    return _unpack(message_type, values)


def _pack(value: Any) -> Any:
    if is_dataclass(value):
        return [
            _pack(getattr(value, field.name))
            for field in fields(value)
            if field.name != "kind"
        ]
    if isinstance(value, tuple):
        return [_pack(item) for item in value]
    return value


def _unpack(expected: Any, value: Any) -> Any:
    if is_dataclass(expected) and isinstance(expected, type):
        return _unpack_class(expected, value)
    origin = get_origin(expected)
    if origin is tuple:
        if not isinstance(value, list):
            raise LinkError("array expected")
        item_type = get_args(expected)[0]
        return tuple(_unpack(item_type, item) for item in value)
    if origin in (Union, UnionType):
        if value is None:
            return None
        members = [member for member in get_args(expected) if member is not NoneType]
        return _unpack(members[0], value)
    if type(value) is not expected:
        raise LinkError(f"{expected.__name__} value expected")
    return value


def _unpack_class(expected: type[Any], value: Any) -> Any:
    if expected not in _HINTS:
        _HINTS[expected] = get_type_hints(expected)
    names = [field.name for field in fields(expected) if field.name != "kind"]
    if not isinstance(value, list) or len(value) != len(names):
        raise LinkError(f"{len(names)} fields expected")
    hints = _HINTS[expected]
    return expected(
        *(_unpack(hints[name], item) for name, item in zip(names, value, strict=True))
    )
