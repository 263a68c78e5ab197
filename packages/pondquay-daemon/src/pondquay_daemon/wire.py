"""Messages between instances as msgpack: ``[version, kind, field, field, ...]``.

Inside a message data classes stand as arrays of their fields, so names are not sent
again and again. What comes in is validated field by field.
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
    """The accepting side's first word.

    :param nonce: random, for this connection only
    """

    nonce: bytes
    kind: Literal["challenge"] = "challenge"


@dataclass(frozen=True, slots=True)
class Proof:
    """The dialling side proves that it knows the fleet's key."""

    name: str
    boot: str
    domain: str
    nonce: bytes
    digest: bytes
    kind: Literal["proof"] = "proof"


@dataclass(frozen=True, slots=True)
class Welcome:
    """The accepting side proves the same; messages may follow."""

    name: str
    boot: str
    domain: str
    digest: bytes
    kind: Literal["welcome"] = "welcome"


Message = Any
_TYPES: dict[str, type[Any]] = {}
_HINTS: dict[type[Any], dict[str, Any]] = {}


def _register(*types: type[Any]) -> None:
    for one in types:
        kind = next(field.default for field in fields(one) if field.name == "kind")
        _TYPES[str(kind)] = one


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
    """Return the frame of a message."""
    packed: bytes = msgpack.packb([WIRE_VERSION, message.kind, *_pack(message)])
    return packed


def decode_message(frame: bytes) -> Message:
    """Read a frame.

    :raises LinkError: if it is no message of this version
    """
    try:
        content = msgpack.unpackb(
            frame, max_array_len=MAX_ITEMS, max_map_len=0, max_ext_len=0
        )
        version, kind, *values = content
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise LinkError(f"broken frame: {error}") from error
    if version != WIRE_VERSION:
        raise LinkError(f"wire version {version!r} is not {WIRE_VERSION}")
    message_type = _TYPES.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        raise LinkError(f"unknown kind {kind!r}")
    return _unpack(message_type, values)


def _pack(value: Any) -> Any:
    if is_dataclass(value):
        return [
            _pack(getattr(value, field.name))
            for field in fields(value)
            if field.name != "kind"
        ]
    if isinstance(value, tuple):
        return [_pack(one) for one in value]
    return value


def _unpack(expected: Any, value: Any) -> Any:
    if is_dataclass(expected) and isinstance(expected, type):
        return _unpack_class(expected, value)
    origin = get_origin(expected)
    if origin is tuple:
        if not isinstance(value, list):
            raise LinkError("an array was expected")
        item = get_args(expected)[0]
        return tuple(_unpack(item, one) for one in value)
    if origin in (Union, UnionType):
        if value is None:
            return None
        inner = [one for one in get_args(expected) if one is not NoneType]
        return _unpack(inner[0], value)
    if type(value) is not expected:
        raise LinkError(f"{expected.__name__} was expected")
    return value


def _unpack_class(expected: type[Any], value: Any) -> Any:
    if expected not in _HINTS:
        _HINTS[expected] = get_type_hints(expected)
    names = [field.name for field in fields(expected) if field.name != "kind"]
    if not isinstance(value, list) or len(value) != len(names):
        raise LinkError(f"{len(names)} fields were expected")
    hints = _HINTS[expected]
    return expected(
        *(_unpack(hints[name], one) for name, one in zip(names, value, strict=True))
    )
