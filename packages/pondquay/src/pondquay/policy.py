"""Which mechanisms a relay decides with, and the figures that they go by.

Each can be switched off or set by itself, so that an experiment can tell what it is
worth. Deployments run with the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """The mechanisms of one relay.

    :param share_loads: tell peers what waits at an upstream, so that the prompts of
        all instances do not queue up at the same one
    :param borrow: ask peers for tokens that the table does not give in time
    :param return_surplus: give back what is held far above the target
    :param last_part: part of the prepaid tokens that is kept for small requests: after
        a loss of all instances it answers many callers where few large requests would
        take the rest
    :param most_holders: instances up to which all hold tokens of every workspace;
        beyond it a row would have more writers than the store takes
    :param cover_seconds: seconds of the demand of all that they keep ahead; it covers
        short outages of the table and the time in which demand is noticed
    :param most_of_left: part of what a workspace has left that they keep ahead at most:
        a loss of all instances loses it, and what is missing in an outage for its sake
        is served after it
    :param ahead_seconds: seconds of its own demand that an instance without tokens of
        its own borrows ahead, so that its requests do not wait for a lender one after
        the other; a loss of all instances loses what they hold
    :param borrowed_of_left: part of what a workspace has left that such an instance
        holds at most without need where its part of what all keep fits no request, so
        that a nearly used budget does not lie about in remnants
    :param return_part: part of its largest request from which such an instance hands
        back what it does not need
    :param come_back_seconds: after which a caller that was refused for want of tokens
        should try again; another instance may have some
    :param circuits: leave out upstreams that failed several times in a row
    :param leave_dark: take a failure domain for dark in which two upstreams in a row
        could not be connected to, and try another domain after each such failure
    :param leave_silent: try elsewhere what an upstream says nothing to
    :param urgency: tell upstreams which requests are urgent
    :param crowded_part: part of an upstream's places that one instance takes in its
        own domain before it looks further
    :param spare_streams: keep long prompts from upstreams whose streams they break
    :param refuse_crashing: refuse a request under which three upstreams crashed; one
        that comes again and again would take all of them away from everyone
    :param copy_parts: let an upstream copy shared parts that another has read
    """

    share_loads: bool = True
    borrow: bool = True
    return_surplus: bool = True
    last_part: float = 0.03
    most_holders: int = 16
    cover_seconds: float = 8.0
    most_of_left: float = 0.2
    ahead_seconds: float = 2.0
    borrowed_of_left: float = 0.001
    return_part: float = 0.25
    come_back_seconds: float = 0.1
    circuits: bool = True
    leave_dark: bool = True
    leave_silent: bool = True
    urgency: bool = True
    crowded_part: float = 0.5
    spare_streams: bool = True
    refuse_crashing: bool = True
    copy_parts: bool = True


DEFAULT_POLICY = RelayPolicy()
