"""Search for the upstreams to which one request is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pondquay.routing.expected import Choice, Reason, Target
from pondquay.routing.routesets import identify_route
from pondquay_daemon.logs import log_event
from pondquay_daemon.relay.permits import PERMIT_WAIT_SECONDS, describe_rate
from pondquay_daemon.relay.placement import NoUpstream

if TYPE_CHECKING:
    from collections.abc import Collection

    from pondquay.routing.knownupstreams import KnownUpstream
    from pondquay_daemon.relay.admission import Admission
    from pondquay_daemon.relay.components import RelayComponents
    from pondquay_daemon.relay.streamprogress import StreamProgress

# Longest wait for the record of software versions.
RECORD_WAIT_SECONDS = 0.5


class UpstreamSearch:
    """Finds the upstreams to which one request is sent, one after another.

    :param progress: progress of its stream, ``None`` if it has none
    :param shares_prompts: whether upstreams may copy cached prompt parts
    :ivar tried: names of the upstreams that were tried
    :ivar unreachable_domains: domains in which it could not connect
    """

    def __init__(
        self,
        components: RelayComponents,
        admission: Admission,
        progress: StreamProgress | None,
        *,
        shares_prompts: bool,
    ) -> None:
        self._components = components
        self._service = admission.service
        self._metadata = admission.metadata
        self._route = admission.route
        self._progress = progress
        self._shares_prompts = shares_prompts
        self._held: Choice | None = None
        # Upstreams to which the stream may return, the latest last.
        self._left: list[KnownUpstream] = []
        self.tried: set[str] = set()
        self.unreachable_domains: set[str] = set()

    async def choose(self) -> KnownUpstream | None:
        """Return the upstream to try next, ``None`` if there is none.

        It is the one that is held, unless it has become unusable.
        """
        choice, self._held = self._held, None
        if choice is None or not self._is_usable(choice.upstream):
            choice = await self._find(only_healthy=False, takes_permit=True)
        if choice is None and await self._wait_recorded():
            choice = await self._find(only_healthy=False, takes_permit=True)
        return None if choice is None else self._start(choice)

    def note_left(self, upstream: KnownUpstream) -> bool:
        """Note that a silent upstream is left; return whether to return there.

        The rest of a stream that has begun is of use only in its response, so the
        stream returns if it cannot go on elsewhere. Other requests can be refused.
        """
        if self._progress is None or not self._progress.started:
            return False
        self._left.append(upstream)
        return True

    def can_return(self) -> bool:
        """Return whether a silent upstream that was left can be tried again."""
        return any(map(self._may_return, self._left))

    async def choose_left(self) -> KnownUpstream | None:
        """Return a silent upstream that was left, each once, the latest first."""
        permits = self._components.permits
        while self._left:
            upstream = self._left.pop()
            wait_until = self._components.clock.seconds() + PERMIT_WAIT_SECONDS
            if not self._may_return(upstream):
                continue
            has_permit = await permits.prepare(upstream, wait_until)
            if (
                has_permit
                and self._may_return(upstream)
                and self._take_permit(upstream)
            ):
                return self._start(Choice(upstream, Reason.RETURNED))
        return None

    async def find_alternative(self) -> Choice | None:
        """Return a healthy upstream of which a permit is available, if it needs one."""
        return await self._find(only_healthy=True, takes_permit=False)

    def hold(self, choice: Choice) -> bool:
        """Take the permit of an upstream, and keep it for the next attempt.

        :returns: whether it is kept; ``False`` if it can no longer be used
        """
        upstream = choice.upstream
        if not self._is_usable(upstream) or not self._take_permit(upstream):
            return False
        self._components.placement.note_chosen(upstream)
        self._held = choice
        return True

    def has_alternative(self) -> bool:
        """Return whether another healthy upstream can be tried."""
        return self._components.placement.has_alternative(
            self._service, self._versions, self.tried
        )

    def explain_no_upstream(self) -> NoUpstream:
        """Return why there is no upstream to try."""
        route = identify_route(self._route)
        lacks_all = self._components.software.lacks_all
        if self._begins_stream and lacks_all(self._service, route):
            return NoUpstream("no upstream whose software version is recorded")
        return self._components.placement.explain_no_upstream(
            self._service, self._versions, self.tried
        )

    @property
    def _begins_stream(self) -> bool:
        """Whether its stream may be resumed later and has no event yet."""
        return (
            self._route.resumable
            and self._progress is not None
            and self._progress.software is None
        )

    @property
    def _versions(self) -> Collection[str] | None:
        """The only software versions at which it may run, ``None`` for any.

        A stream begins only at versions that the record shows to instances which know
        nothing else, and goes on only at the version that began it.
        """
        if self._begins_stream:
            return self._components.software.list_recorded(
                self._service, identify_route(self._route)
            )
        if self._progress is None or self._progress.software is None:
            return None
        return (self._progress.software,)

    async def _wait_recorded(self) -> bool:
        """Wait until its stream may begin at an upstream that is known.

        :returns: whether it may now, but could not before
        """
        if not self._begins_stream:
            return False
        return await self._components.software.wait_recorded(
            self._service, identify_route(self._route), RECORD_WAIT_SECONDS
        )

    async def _find(self, *, only_healthy: bool, takes_permit: bool) -> Choice | None:
        """Return the best upstream of which a permit is available, if it needs one.

        :param only_healthy: whether to return no upstream that is likely to fail
        :param takes_permit: whether the permit is used and the upstream counts as
            chosen
        """
        components = self._components
        without_permit: set[str] = set()
        wait_until = components.clock.seconds() + PERMIT_WAIT_SECONDS
        while True:
            choice = components.placement.choose(
                self._service,
                self._metadata.prefix,
                Target(self._route.objective, self._route.pause),
                self.tried | without_permit,
                self.unreachable_domains,
                versions=self._versions,
                copies=self._shares_prompts,
                only_healthy=only_healthy,
            )
            if choice is None:
                return None
            upstream = choice.upstream
            if takes_permit:
                components.placement.note_chosen(upstream)
            has_permit = await components.permits.prepare(upstream, wait_until)
            if has_permit and (not takes_permit or self._take_permit(upstream)):
                return choice
            without_permit.add(upstream.name)

    def _start(self, choice: Choice) -> KnownUpstream:
        """Return the upstream of a choice, to which the request is sent now."""
        self._components.metrics.placements.labels(choice.reason.value).inc()
        self._log_chosen(choice)
        return choice.upstream

    def _may_return(self, upstream: KnownUpstream) -> bool:
        return self._components.placement.may_return(upstream, self._versions)

    def _take_permit(self, upstream: KnownUpstream) -> bool:
        return self._components.permits.take_prepared(upstream)

    def _is_usable(self, upstream: KnownUpstream) -> bool:
        """Return whether a healthy upstream can still be tried."""
        return self._components.placement.is_usable(
            upstream, self._versions, self.tried
        )

    def _log_chosen(self, choice: Choice) -> None:
        chosen = choice.upstream
        components = self._components
        age = components.list_age()
        missing_since = chosen.missing_since
        # reading: prompt tokens of this instance that wait for prefill; waiting: those
        # of all instances; gone: seconds since the row went missing, -1 if listed;
        # fleet_running: estimated requests of all instances; pace: 1 is usual, more is
        # slower.
        log_event(
            "upstream-chosen",
            request=self._metadata.attempt,
            upstream=chosen.name,
            service=self._service,
            software=chosen.record.software,
            running=chosen.running,
            fleet_running=round(components.activity.count_running(chosen), 1),
            pace=round(choice.slowness, 2),
            why=choice.reason.value,
            reading=chosen.prompts.own,
            waiting=chosen.prompts.waiting,
            failures=chosen.circuit.failures,
            tried=len(self.tried),
            list_age=-1 if age is None else round(age, 2),
            gone=-1
            if missing_since is None
            else round(components.clock.seconds() - missing_since, 2),
            cold=round(max(0.0, chosen.cold_until - components.clock.seconds()), 2),
            limit=describe_rate(chosen.limit.rate),
            emptied=components.directory.evacuations.describe(),
        )
