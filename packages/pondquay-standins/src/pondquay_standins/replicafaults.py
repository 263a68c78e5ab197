"""Faults of the stand-ins for replicas."""

from __future__ import annotations

from enum import StrEnum


class ReplicaFault(StrEnum):
    """A fault of a replica.

    ``full`` rejects requests with 503, ``error`` responds with 500 unless a stream is
    requested, ``hang`` never responds, ``slow`` responds late, ``lose-answer`` runs
    requests and drops their connections, ``cut`` breaks streams after two events,
    ``unsigned`` omits the signature, ``foreign`` names another attempt in responses,
    and ``surplus`` sends each response twice unless it is streamed. ``late-refusal``
    rejects the first request of each connection, and repeats that while it works on the
    next one. ``unframed`` responds without a length, and resets every second connection
    half-way. ``endless`` sends responses without an end, of each kind in turn, and
    ``endless-refusal`` rejects requests with such responses.
    """

    NONE = "none"
    FULL = "full"
    ERROR = "error"
    HANG = "hang"
    SLOW = "slow"
    LOSE_ANSWER = "lose-answer"
    CUT = "cut"
    UNSIGNED = "unsigned"
    FOREIGN = "foreign"
    SURPLUS = "surplus"
    LATE_REFUSAL = "late-refusal"
    UNFRAMED = "unframed"
    ENDLESS = "endless"
    ENDLESS_REFUSAL = "endless-refusal"
