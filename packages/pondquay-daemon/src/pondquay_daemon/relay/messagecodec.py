"""Codec of the messages on one kind of connection: msgpack arrays with a code.

Unknown kinds of messages and unknown trailing fields are ignored.
"""

from __future__ import annotations

from dataclasses import fields as dataclass_fields
from typing import TYPE_CHECKING, Any, ClassVar, Generic, Protocol, TypeVar

import msgpack
import msgspec

from pondquay_daemon.relay.errors import MalformedValueError

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_MESSAGE_BYTES = 16 << 20
# The buffer of a connection grows from this size to that of its longest messages.
INITIAL_BUFFER_BYTES = 4096


class CodedMessage(Protocol):
    """A data class with a code that identifies its kind."""

    CODE: ClassVar[int]


AnyMessage = TypeVar("AnyMessage", bound=CodedMessage)


class MessageCodec(Generic[AnyMessage]):
    """Encodes and decodes messages of some kinds."""

    def __init__(self, kinds: Iterable[type[AnyMessage]]) -> None:
        self.kinds = {kind.CODE: kind for kind in kinds}
        # Names of the fields of each kind, in the order in which they are sent.
        self._names: dict[type[AnyMessage], tuple[str, ...]] = {
            kind: tuple(field.name for field in dataclass_fields(kind))  # type: ignore[arg-type]
            for kind in self.kinds.values()
        }
        # Reused, since a packer allocates its buffer when it is created.
        self._packer = msgpack.Packer()

    def encode(self, message: AnyMessage) -> bytes:
        """Return the encoded message."""
        values = [getattr(message, name) for name in self._names[type(message)]]
        packed: bytes = self._packer.pack([message.CODE, *values])
        return packed

    def convert(self, fields: Any) -> AnyMessage | None:
        """Return the message with some decoded fields, ``None`` if its code is unknown.

        :raises MalformedValueError: if it is malformed
        """
        if not isinstance(fields, list) or not fields or not isinstance(fields[0], int):
            raise MalformedValueError("peer message: has no code")
        code, *values = fields
        kind = self.kinds.get(code)
        if kind is None:
            return None
        names = self._names[kind]
        return msgspec.convert(dict(zip(names, values, strict=False)), kind)


class StreamReader(Generic[AnyMessage]):
    """Decodes messages from a stream of bytes."""

    def __init__(self, codec: MessageCodec[AnyMessage]) -> None:
        self._codec = codec
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_MESSAGE_BYTES, read_size=INITIAL_BUFFER_BYTES
        )

    def feed(self, data: bytes) -> list[AnyMessage]:
        """Return the messages that are complete after adding some bytes.

        :raises MalformedValueError: if the bytes are malformed
        """
        try:
            self._unpacker.feed(data)
            read = [self._codec.convert(fields) for fields in self._unpacker]
        except (
            msgpack.UnpackException,
            msgspec.ValidationError,
            RecursionError,
            ValueError,
            TypeError,
        ) as error:
            raise MalformedValueError(f"peer message: {error!r}") from error
        return [message for message in read if message is not None]
