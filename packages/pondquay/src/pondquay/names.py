"""Identifiers that instances use in messages and table rows."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

SEPARATOR = "/"
BOOT_SEPARATOR = "~"


@dataclass(frozen=True, slots=True, order=True)
class InstanceId:
    """An incarnation of an entry instance: its process from start to exit.

    :param name: the instance's name from its settings
    :param boot: a random identifier, generated at each start
    """

    name: str
    boot: str

    def __str__(self) -> str:
        return f"{self.name}{BOOT_SEPARATOR}{self.boot}"

    @classmethod
    def parse(cls, text: str) -> InstanceId:
        """Parse the form that ``str()`` returns."""
        name, _, boot = text.rpartition(BOOT_SEPARATOR)
        return cls(name, boot)


@dataclass(frozen=True, slots=True, order=True)
class GrantId:
    """A grant of tokens, identified by its holder and the holder's grant counter."""

    holder: InstanceId
    number: int

    def __str__(self) -> str:
        return f"{self.holder}{SEPARATOR}{self.number}"

    @classmethod
    def parse(cls, text: str) -> GrantId:
        """Parse the form that ``str()`` returns."""
        holder, _, number = text.rpartition(SEPARATOR)
        return cls(InstanceId.parse(holder), int(number))


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """An attempt to run a request, identified by a sequence number within a grant."""

    grant: GrantId
    seq: int

    def __str__(self) -> str:
        return f"{self.grant}{SEPARATOR}{self.seq}"

    @classmethod
    def parse(cls, text: str) -> AttemptId:
        """Parse the form that ``str()`` returns."""
        grant, _, seq = text.rpartition(SEPARATOR)
        return cls(GrantId.parse(grant), int(seq))


@dataclass(frozen=True, slots=True, order=True)
class RequestName:
    """A request, identified across retries by its workspace and its request key.

    :param key: the key that the caller gave the request
    """

    workspace: str
    key: str

    def __str__(self) -> str:
        return f"{self.workspace}{SEPARATOR}{self.key}"

    @classmethod
    def parse(cls, text: str) -> RequestName:
        """Parse the form that ``str()`` returns."""
        workspace, _, key = text.partition(SEPARATOR)
        return cls(workspace, key)


def name_stream(request: RequestName, attempt: AttemptId) -> str:
    """Return the name of the stream that an attempt runs on an upstream.

    Attempt identifiers are unique across the fleet, and so are stream names.
    """
    digest = blake2b(f"{request}|{attempt}".encode(), digest_size=16)
    return digest.hexdigest()
