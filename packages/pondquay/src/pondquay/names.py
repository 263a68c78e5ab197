"""Names of the things that instances tell each other about."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

SEPARATOR = "/"
BOOT_SEPARATOR = "~"


@dataclass(frozen=True, slots=True, order=True)
class InstanceId:
    """An entry instance in one of its lives.

    :param name: the instance's name from its settings
    :param boot: a random name made at each start; a new boot knows nothing of the last
    """

    name: str
    boot: str

    def __str__(self) -> str:
        return f"{self.name}{BOOT_SEPARATOR}{self.boot}"

    @classmethod
    def parse(cls, text: str) -> InstanceId:
        """Read the form that ``str`` writes."""
        name, _, boot = text.rpartition(BOOT_SEPARATOR)
        return cls(name, boot)


@dataclass(frozen=True, slots=True, order=True)
class GrantId:
    """A grant of tokens, named by its holder and a number the holder counts up."""

    holder: InstanceId
    number: int

    def __str__(self) -> str:
        return f"{self.holder}{SEPARATOR}{self.number}"

    @classmethod
    def parse(cls, text: str) -> GrantId:
        """Read the form that ``str`` writes."""
        holder, _, number = text.rpartition(SEPARATOR)
        return cls(InstanceId.parse(holder), int(number))


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """One attempt to run a request: a place in the sequence of one grant."""

    grant: GrantId
    seq: int

    def __str__(self) -> str:
        return f"{self.grant}{SEPARATOR}{self.seq}"

    @classmethod
    def parse(cls, text: str) -> AttemptId:
        """Read the form that ``str`` writes."""
        grant, _, seq = text.rpartition(SEPARATOR)
        return cls(GrantId.parse(grant), int(seq))


@dataclass(frozen=True, slots=True, order=True)
class RequestName:
    """What names a request for good: its workspace and the caller's key."""

    workspace: str
    key: str

    def __str__(self) -> str:
        return f"{self.workspace}{SEPARATOR}{self.key}"

    @classmethod
    def parse(cls, text: str) -> RequestName:
        """Read the form that ``str`` writes."""
        workspace, _, key = text.partition(SEPARATOR)
        return cls(workspace, key)


def name_stream(request: RequestName, attempt: AttemptId) -> str:
    """Return the name of the stream that one attempt runs at an upstream.

    Attempts are unique across the fleet, so no two streams share a name.
    """
    digest = blake2b(f"{request}|{attempt}".encode(), digest_size=16)
    return digest.hexdigest()
