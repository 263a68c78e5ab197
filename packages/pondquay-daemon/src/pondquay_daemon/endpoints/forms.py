"""Validated models of callers' requests, and digests of their content."""

from __future__ import annotations

import json
from hashlib import sha256
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

from pondquay.configuration.entities import Priority  # noqa: TC002

KEY_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$"
MAX_DEADLINE_MS = 600_000
MAX_MESSAGES = 1000
PREFIX_CHARACTERS = 256


class TextPart(BaseModel):
    """A text part of a message."""

    model_config = ConfigDict(extra="ignore")

    type: Literal["text"]
    text: str


class ChatMessage(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="ignore")

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[TextPart]

    @property
    def text(self) -> str:
        """The text of the message, with its parts joined."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class StreamOptions(BaseModel):
    """Options of a streamed response."""

    model_config = ConfigDict(extra="ignore")

    include_usage: bool = False


class CompletionForm(BaseModel):
    """The body of a chat completion request; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True)

    model: Annotated[str, Field(min_length=1, max_length=200)]
    messages: Annotated[list[ChatMessage], Field(min_length=1, max_length=MAX_MESSAGES)]
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    max_completion_tokens: Annotated[int, Field(ge=1)] | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    n: Literal[1] | None = None

    @property
    def limit(self) -> int | None:
        """The caller's limit of output tokens, ``None`` if there is none."""
        return self.max_completion_tokens or self.max_tokens


class CallHeaders(BaseModel):
    """Headers that identify a request and control how it is handled."""

    model_config = ConfigDict(frozen=True)

    key: Annotated[str, Field(pattern=KEY_PATTERN)] | None = None
    repeatable: Literal["yes", "no"] | None = None
    priority: Priority | None = None
    deadline_ms: Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)] | None = None


HEADER_NAMES = {
    "key": "Idempotency-Key",
    "repeatable": "Pondquay-Repeatable",
    "priority": "Pondquay-Priority",
    "deadline_ms": "Pondquay-Deadline-Ms",
}


def digest_content(content: Any) -> str:
    """Return a digest that detects a key reused for a different request."""
    text = content if isinstance(content, bytes) else json.dumps(content).encode()
    return sha256(text).hexdigest()


def name_prefix(texts: list[str]) -> str:
    """Return the identifier of a prompt's beginning, as engines report it.

    :returns: an empty string for a prompt shorter than ``PREFIX_CHARACTERS``
    """
    joined = "\n".join(texts)
    if len(joined) < PREFIX_CHARACTERS:
        return ""
    return sha256(joined[:PREFIX_CHARACTERS].encode()).hexdigest()[:16]
