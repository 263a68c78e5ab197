"""Behaviours of replicas, by sentence of the platform's protocol.

Each replica behaves as named in a part of the requests and serves the others, so that
its connections are reused and it is not left for good.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from pondquay_standins.hostile.disturbances import (
    AnotherReplica,
    BrokenRun,
    Drip,
    FewConnections,
    Freeze,
    InterimFlood,
    InterimSuccess,
    Leaving,
    OwnFailure,
    Unframed,
)
from pondquay_standins.hostile.exchanges import (
    OLDER_ATTEMPT,
    Behaviour,
    HostileExchange,
)
from pondquay_standins.hostile.refusals import (
    COPY_TIMES,
    FRAMINGS,
    BrokenRefusal,
    Copies,
    EarlyRefusal,
    EmptyPromise,
    FilledUp,
    LongRefusal,
    NamelessRefusal,
    OtherConnectionCopies,
    PartBefore,
    Refusal,
    RefusalThenBytes,
    make_limited,
    make_misdirected,
    make_nameless,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


class Mixture(Behaviour):
    """Draws one of some behaviours for each request.

    :param parts: the behaviours
    """

    def __init__(self, parts: Sequence[Behaviour]) -> None:
        self._parts = parts

    def begin(self, exchange: HostileExchange) -> None:
        """Refuse a request before its body is read, perhaps."""
        if exchange.replica.random.random() < self.fraction / 4:
            EarlyRefusal().begin(exchange)

    def serve(self, exchange: HostileExchange) -> None:
        """Send a copy that is due, or handle a request."""
        if exchange.connection.surplus:
            when = exchange.replica.random.choice(("first", "while", "after"))
            Copies(None, when).serve(exchange)
        else:
            super().serve(exchange)

    def misbehave(self, exchange: HostileExchange) -> None:
        """Handle a request as one of the other behaviours does."""
        exchange.replica.random.choice(self._parts).misbehave(exchange)


def list_promises() -> list[Behaviour]:
    """Return behaviours whose refusals name their own request, once."""
    return [
        *(Refusal(framing=framing) for framing in FRAMINGS),
        *(
            BrokenRefusal(is_in_head=is_in_head, is_reset=is_reset)
            for is_in_head in (True, False)
            for is_reset in (True, False)
        ),
        *(RefusalThenBytes(), EmptyPromise(), OwnFailure(), Drip(), LongRefusal()),
    ]


def list_breaks() -> list[Behaviour]:
    """Return behaviours that end connections, or are silent for a while."""
    endings = ("before", "running", "answer", "after")
    return [
        *(BrokenRun(when, is_reset=True) for when in endings),
        *(BrokenRun(when, is_reset=False) for when in endings),
        *(Unframed(), Freeze(), OwnFailure()),
    ]


def list_copies() -> list[Behaviour]:
    """Return behaviours that send a response more than once."""
    return [
        *(Copies(HostileExchange.make_refusal, when) for when in COPY_TIMES),
        *(Copies(None, when) for when in COPY_TIMES),
        *(Copies(make, "while") for make in (make_misdirected, make_limited)),
        *(Leaving(), OtherConnectionCopies(), AnotherReplica(), InterimSuccess()),
    ]


def make_mixture() -> Behaviour:
    """Return a mixture of all behaviours that keep the promises of refusals."""
    return Mixture([*list_promises(), *list_breaks(), *list_copies()])


def list_behaviours() -> dict[str, Callable[[], Behaviour]]:
    """Return the behaviours by name."""
    makers: dict[str, Callable[[], Behaviour]] = {
        "sound": Behaviour,
        "mixture": make_mixture,
        "mixture-promises": lambda: Mixture(list_promises()),
        "mixture-breaks": lambda: Mixture(list_breaks()),
        "mixture-copies": lambda: Mixture(list_copies()),
        "refusal": Refusal,
        "refusal-older-name": partial(Refusal, OLDER_ATTEMPT),
        "refusal-no-name": NamelessRefusal,
        "no-promise": EmptyPromise,
        "refusal-on-other-connections": OtherConnectionCopies,
        "refusal-then-bytes": RefusalThenBytes,
        "refusal-before-body": EarlyRefusal,
        "part-of-refusal-before-success": partial(PartBefore, 503, 200),
        "part-of-success-before-failure": partial(PartBefore, 200, 500),
        "part-of-success-before-refusal": FilledUp,
        "own-failure": OwnFailure,
        "no-length": Unframed,
        "few-connections": FewConnections,
        "leaving": Leaving,
        "another-replica": AnotherReplica,
        "interim-success": InterimSuccess,
        "freeze": Freeze,
        "drip": Drip,
        "interim-flood": InterimFlood,
        "long-refusal": LongRefusal,
        "nameless-copy-while": partial(Copies, make_nameless, "while"),
        "421-copy-while": partial(Copies, make_misdirected, "while"),
        "429-copy-while": partial(Copies, make_limited, "while"),
    }
    for framing in FRAMINGS[1:]:
        makers[f"refusal-{framing}"] = partial(Refusal, framing=framing)
    for when in COPY_TIMES:
        named = when.replace(" ", "-")
        refusal = HostileExchange.make_refusal
        makers[f"refusal-copy-{named}"] = partial(Copies, refusal, when)
        makers[f"success-copy-{named}"] = partial(Copies, None, when)
    for is_reset, ending in ((True, "reset"), (False, "closed")):
        for is_in_head, part in ((True, "head"), (False, "body")):
            makers[f"refusal-{ending}-in-{part}"] = partial(
                BrokenRefusal, is_in_head=is_in_head, is_reset=is_reset
            )
        for when in ("opened", "head", "before", "running", "answer", "after"):
            makers[f"{ending}-{when}"] = partial(BrokenRun, when, is_reset=is_reset)
    return makers
