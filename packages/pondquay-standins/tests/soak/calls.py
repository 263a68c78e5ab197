"""Calls of the soak's callers, for tests of its checks."""

from __future__ import annotations

from typing import Any

from pondquay_standins.soak.callers import Call


def make_call(
    attempt: str, began: float, *, seconds: float = 0.1, **fields: Any
) -> Call:
    """Return a call of a plain service that was served.

    :param seconds: its duration
    :param fields: further fields of the call, which replace the defaults
    """
    defaults = {
        "relay": "r1",
        "route": "fetch",
        "events": 0,
        "status": 200,
        "body": b"",
        "signature": "sig.p1",
        "complete": True,
        "ended": began + seconds,
    }
    return Call(attempt=attempt, began=began, **{**defaults, **fields})
