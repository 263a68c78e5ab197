"""Outcomes of an attempt to serve a request at one upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from pondquay_daemon.relay.messages import ResponseHead

SUCCESS_STATUSES = range(200, 300)
# Statuses that a caller may take as proof that its request did not run. They are not
# forwarded, since an upstream's response proves this only by a header.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Unsent:
    """No byte of the request left this instance.

    :param refused: whether the upstream's host refused the connection, so that it is
        reachable but nothing listens there
    """

    reason: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream rejected the request without running it.

    :param misdirected: whether another upstream now has the address
    """

    status: int
    misdirected: bool


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response, which has not been forwarded yet."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class PassedOn:
    """A complete plain response, which was forwarded as it arrived."""

    status: int


@dataclass(frozen=True, slots=True)
class Streamed:
    """A complete stream, which has been forwarded."""

    events: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, but its response is incomplete or invalid.

    :param silent: whether the upstream sent nothing for too long
    :param broken: whether its connection broke
    :param began: whether the response's head had arrived
    :param streamed: seconds since the first event, 0 if none arrived
    :param unread: whether the caller had not read the response for some time, after
        which an upstream may cut it off
    :param by_gateway: whether the connection broke at a gateway
    :param gateway: name of the peer through which the request passed, empty if none
    """

    reason: str
    silent: bool = False
    broken: bool = False
    began: bool = False
    streamed: float = 0.0
    unread: bool = False
    by_gateway: bool = False
    gateway: str = ""

    @property
    def stage(self) -> str:
        """How far the response was, as a label of a metric."""
        if self.streamed:
            return "streaming"
        return "begun" if self.began else "waiting"

    @property
    def is_of_upstream(self) -> bool:
        """Whether the upstream is the likely cause."""
        return not self.unread and not self.by_gateway


@dataclass(frozen=True, slots=True)
class Stopped:
    """This instance ended the attempt: the caller left, or its deadline passed.

    :param sent: whether the request was sent
    """

    sent: bool


# The lower-case names of these classes are labels of a metric.
Outcome: TypeAlias = Unsent | NotRun | Answered | PassedOn | Streamed | Lost | Stopped


def describe_cause(outcome: Outcome) -> str:
    """Return why a request with this outcome is sent again, in a word for the logs."""
    if isinstance(outcome, Lost) and outcome.silent:
        return "silent"
    if isinstance(outcome, Answered | PassedOn):
        return "failed"
    return type(outcome).__name__.lower()
