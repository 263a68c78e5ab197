"""Settings that enable, disable and tune the mechanisms of a relay.

Deployments run with the defaults; experiments change single settings.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayPolicy:
    """The policy settings of a relay; their names are also keys of its INI file.

    Tokens that an instance holds without reserving them for a request are headroom. An
    instance without an allotment holds only tokens borrowed from its peers.

    :param share_loads: announce to peers the prompts that an upstream has yet to
        process, so that instances do not all queue prompts at the same upstream
    :param borrow: borrow tokens from peers; an instance with an allotment does so when
        the table does not grant them in time, an instance without an allotment when a
        request lacks tokens and in advance
    :param return_surplus: return headroom that is well above its target
    :param last_part: fraction of the prepaid tokens reserved for small requests; it
        serves many callers when a loss of all instances leaves few tokens
    :param most_holders: maximum number of instances of a fleet in which every instance
        has an allotment of every workspace; in larger fleets only a few instances per
        failure domain have one, which limits the concurrent writers of a row
    :param hold_by_demand: in larger fleets, also let an instance with a considerable
        part of a workspace's demand have an allotment of its own
    :param cover_seconds: seconds of the fleet's demand that all instances together hold
        as headroom; it bridges short outages of the table
    :param most_of_left: maximum fraction of a workspace's remaining tokens that all
        instances together hold as headroom while the budget is full; it falls with the
        cube of what remains and bounds what is unavailable after a loss of all
        instances
    :param ahead_seconds: seconds of its own demand that an instance without an
        allotment borrows in advance, so that requests need not wait for a lender
    :param borrowed_of_left: fraction of a workspace's remaining tokens that all
        instances without an allotment together may hold as headroom where the share of
        each is smaller than its largest request
    :param return_part: fraction of an instance's largest request; an instance without
        an allotment returns a surplus to a lender only if it exceeds this fraction or
        the headroom that the instance may hold, whichever is less
    :param come_back_seconds: seconds that a caller is asked to wait before retrying
        when this instance cannot reserve tokens for its request although the budget is
        not exhausted; other delays apply during an outage of the table and before this
        instance has read the workspace's row
    :param circuits: exclude upstreams that failed several times in a row
    :param leave_dark: treat a failure domain as unreachable for a short time after
        connections to two of its upstreams failed, other than by refusal, without a
        response from the domain in between; do not limit a request's failed connections
        while another healthy upstream is left
    :param leave_silent: retry a repeatable request at another upstream if its upstream
        does not respond in time
    :param urgency: send the urgency of each request to its upstream; if off, the
        urgency sent is always 0, the highest
    :param crowded_part: fraction of an upstream's slots that this instance uses in its
        own failure domain before it considers upstreams of other domains; requests
        with prompt parts are not affected
    :param spare_streams: send no long prompts to upstreams whose running streams they
        would delay, as long as other upstreams are available
    :param weigh_pace: place prompts by the load and pace of upstreams that are known of
        the fleet; if off, only by this instance's load and the prompts that wait
    :param refuse_crashing: refuse a request after three upstreams crashed while running
        it, so that its retries do not crash further upstreams
    :param copy_parts: let an upstream copy the cached state of shared prompt parts from
        another upstream
    :param withdraw: report to the load balancer that this instance is not ready while
        it is overloaded, unless a quarter of its failure domain does so already
    :param refuse_overload: while this instance is overloaded, refuse requests at once
        that would lose about half of their time here, the less urgent first, so that
        their callers retry at other instances in time
    :param use_gateways: connect to an upstream through a peer if this instance cannot
    """

    share_loads: bool = True
    borrow: bool = True
    return_surplus: bool = True
    last_part: float = 0.03
    most_holders: int = 16
    hold_by_demand: bool = True
    cover_seconds: float = 8.0
    most_of_left: float = 0.2
    ahead_seconds: float = 2.0
    borrowed_of_left: float = 0.02
    return_part: float = 0.25
    come_back_seconds: float = 0.1
    circuits: bool = True
    leave_dark: bool = True
    leave_silent: bool = True
    urgency: bool = True
    crowded_part: float = 0.5
    spare_streams: bool = True
    weigh_pace: bool = True
    refuse_crashing: bool = True
    copy_parts: bool = True
    withdraw: bool = True
    refuse_overload: bool = True
    use_gateways: bool = True


DEFAULT_POLICY = RelayPolicy()
