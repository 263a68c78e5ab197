"""Messages between the holder and the witness of a grant."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from pondquay.names import GrantId, InstanceId, RequestName


@dataclass(frozen=True, slots=True)
class Intent:
    """An attempt that the holder will make once the witness has acknowledged it.

    :param seq: sequence number of the attempt in its grant
    :param reserve: maximum cost of the attempt in tokens
    :param boot: the incarnation of the upstream at which the attempt is made; other
        incarnations have no record of it
    """

    seq: int
    request: RequestName
    reserve: int
    upstream: str
    stream: str
    boot: str = ""


@dataclass(frozen=True, slots=True)
class Settlement:
    """The outcome of an attempt.

    :param billed: tokens to bill, ``None`` if the attempt is not billed
    """

    seq: int
    request: RequestName
    billed: int | None


@dataclass(frozen=True, slots=True)
class Intend:
    """Holder to witness: attempts to acknowledge; the first message opens the grant."""

    grant: GrantId
    workspace: str
    intents: tuple[Intent, ...]
    kind: Literal["intend"] = "intend"


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Witness to holder: these attempts are recorded and may be made."""

    grant: GrantId
    seqs: tuple[int, ...]
    kind: Literal["acknowledge"] = "acknowledge"


@dataclass(frozen=True, slots=True)
class Refuse:
    """Witness to holder: the grant is sealed or not accepted; nothing was recorded."""

    grant: GrantId
    kind: Literal["refuse"] = "refuse"


@dataclass(frozen=True, slots=True)
class Settle:
    """Holder to witness: outcomes of attempts, accepted also after sealing."""

    grant: GrantId
    workspace: str
    settlements: tuple[Settlement, ...]
    kind: Literal["settle"] = "settle"


@dataclass(frozen=True, slots=True)
class Settled:
    """Witness to holder: these outcomes are recorded and will be billed."""

    grant: GrantId
    seqs: tuple[int, ...]
    kind: Literal["settled"] = "settled"


@dataclass(frozen=True, slots=True)
class SettleRefused:
    """Witness to holder: the grant is unknown, so the table has to be used instead."""

    grant: GrantId
    seqs: tuple[int, ...]
    kind: Literal["settle-refused"] = "settle-refused"


@dataclass(frozen=True, slots=True)
class Flushed:
    """Holder to witness: the bills of these attempts are in the table."""

    grant: GrantId
    seqs: tuple[int, ...]
    kind: Literal["flushed"] = "flushed"


@dataclass(frozen=True, slots=True)
class Forget:
    """Holder to witness: the holder closed the grant in the table."""

    grant: GrantId
    kind: Literal["forget"] = "forget"


@dataclass(frozen=True, slots=True)
class Recall:
    """To all instances: too few tokens are free in the budget; return some.

    :param tokens: tokens that a waiting request needs
    """

    workspace: str
    tokens: int
    kind: Literal["recall"] = "recall"


HolderMessage = Intend | Settle | Flushed | Forget
WitnessMessage = Acknowledge | Refuse | Settled | SettleRefused


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that a witness has recorded without an outcome."""

    grant: GrantId
    workspace: str
    intent: Intent
    holder: InstanceId
