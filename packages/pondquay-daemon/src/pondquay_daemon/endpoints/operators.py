"""The operator endpoint: plans, the state of the fleet, budgets, bills, and dumps."""

from __future__ import annotations

from hmac import compare_digest
from secrets import token_hex
from typing import TYPE_CHECKING, Annotated, Any

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.internet.defer import Deferred

from pondquay.billing.programs import read_accounts, read_statement
from pondquay.budgets.programs import list_grants
from pondquay.budgets.rows import BUDGET_PREFIX, load_budget
from pondquay.configuration.entities import AnyEntity, Budget, Workspace
from pondquay.configuration.plans import make_plan
from pondquay.configuration.programs import (
    AwaitingConsent,
    BudgetTooLow,
    Confirmed,
    PlanOutdated,
    PlanUnknown,
    confirm_plan,
    propose_plan,
    read_plan,
    read_plans,
)
from pondquay.errors import InvalidInputError
from pondquay.membership.drains import store_drain
from pondquay.tables import OutcomeUnknown, Unreachable, read_rows
from pondquay_daemon.endpoints.dumps import dump_state
from pondquay_daemon.endpoints.responses import (
    BAD_REQUEST,
    CONFLICT,
    FORBIDDEN,
    NOT_FOUND,
    UNAUTHORIZED,
    UNAVAILABLE,
    UNPROCESSABLE,
    digest_key,
    read_bearer,
    read_json,
    write_error,
    write_json,
)
from pondquay_daemon.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.web.server import Request

    from pondquay.configuration.programs import ConfirmOutcome
    from pondquay_daemon.components import InstanceComponents

PLAN_BYTES = 5
ACCEPTED = 202


class IntentForm(BaseModel):
    """An intent as it comes through the endpoint."""

    model_config = ConfigDict(extra="forbid")

    wanted: list[AnyEntity] = []
    removed: list[Annotated[str, Field(max_length=100)]] = []


class OperatorEndpoint:
    """Serves operators; each request comes with a partner's operator key."""

    def __init__(self, components: InstanceComponents) -> None:
        self._components = components
        self.app = Klein()
        self._route("/plans", "POST", self._propose)
        self._route("/plans", "GET", self._list_plans)
        self._route("/plans/<plan_id>", "GET", self._show_plan)
        self._route("/plans/<plan_id>/confirm", "POST", self._confirm)
        self._route("/status", "GET", self._show_status)
        self._route("/budgets", "GET", self._show_budgets)
        self._route("/bills/<workspace>", "GET", self._show_bill)
        self._route("/upstreams", "GET", self._show_upstreams)
        self._route("/upstreams/<name>/drain", "POST", self._drain)
        self._route("/dump", "GET", self._dump)

    def _route(
        self,
        path: str,
        method: str,
        response: Callable[..., Coroutine[Deferred[Any], Any, bytes]],
    ) -> None:
        def serve(request: Request, **values: str) -> Deferred[bytes] | bytes:
            partner = self._find_partner(request)
            if partner is None:
                return write_error(
                    request, UNAUTHORIZED, "invalid_operator_key", "key is not known"
                )
            return Deferred.fromCoroutine(response(request, partner, **values))

        endpoint = f"{method}-{path}"
        self.app.route(path, methods=[method], endpoint=endpoint)(serve)

    def _find_partner(self, request: Request) -> str | None:
        digest = digest_key(read_bearer(request) or "")
        for name, section in self._components.settings.partners.items():
            if compare_digest(section.operator_key_digest, digest):
                return name
        return None

    # Plans

    async def _propose(self, request: Request, partner: str) -> bytes:
        try:
            form = IntentForm.model_validate(read_json(request))
        except ValidationError as error:
            first = error.errors()[0]
            place = ".".join(str(one) for one in first["loc"])
            return write_error(
                request, BAD_REQUEST, "invalid_intent", f"{place}: {first['msg']}"
            )
        except ValueError:
            return write_error(request, BAD_REQUEST, "invalid_json", "not JSON")
        document = self._components.configuration.document
        plan_id = token_hex(PLAN_BYTES)
        try:
            plan = make_plan(plan_id, partner, document, form.wanted, form.removed)
        except InvalidInputError as error:
            findings = [str(one) for one in error.findings]
            return write_error(
                request,
                UNPROCESSABLE,
                "refused_intent",
                "; ".join(findings),
                findings=findings,
            )
        outcome = await self._components.platform.run(propose_plan(plan))
        if isinstance(outcome, Unreachable):
            return _write_unreachable(request)
        log_event("plan-proposed", plan=plan.id, partner=partner, base=plan.base)
        return write_json(request, plan.model_dump(mode="json"))

    async def _list_plans(self, request: Request, partner: str) -> bytes:
        plans = await self._components.platform.run(read_plans())
        if isinstance(plans, Unreachable):
            return _write_unreachable(request)
        return write_json(
            request, {"plans": [one.model_dump(mode="json") for one in plans]}
        )

    async def _show_plan(self, request: Request, partner: str, plan_id: str) -> bytes:
        plan = await self._components.platform.run(read_plan(plan_id))
        if isinstance(plan, Unreachable):
            return _write_unreachable(request)
        if isinstance(plan, PlanUnknown):
            return write_error(request, NOT_FOUND, "plan_not_found", plan_id)
        return write_json(request, plan.model_dump(mode="json"))

    async def _confirm(self, request: Request, partner: str, plan_id: str) -> bytes:
        plan = await self._components.platform.run(read_plan(plan_id))
        if isinstance(plan, Unreachable):
            return _write_unreachable(request)
        if isinstance(plan, PlanUnknown):
            return write_error(request, NOT_FOUND, "plan_not_found", plan_id)
        concerned = {plan.partner}
        for change in plan.changes:
            concerned |= change.required_consents()
        if partner not in concerned:
            return write_error(
                request, FORBIDDEN, "not_concerned", "this plan is not yours to confirm"
            )
        outcome = await self._components.platform.run(confirm_plan(plan_id, partner))
        if isinstance(outcome, Confirmed):
            log_event("plan-confirmed", plan=plan_id, version=outcome.version)
            self._components.configuration.receive_version(outcome.version)
        return _write_confirm(request, outcome)

    # What stands

    async def _show_status(self, request: Request, partner: str) -> bytes:
        components = self._components
        now = components.peers.now()
        instances = [
            {
                "name": components.instance.name,
                "boot": components.instance.boot,
                "domain": components.domain,
                "version": components.configuration.document.version,
                "state": "leaving" if components.stopping else "live",
            }
        ]
        for peer in components.peers.table.known.values():
            usable = components.peers.is_usable(peer.instance)
            live = "leaving" if peer.leaving else "live"
            instances.append(
                {
                    "name": peer.instance.name,
                    "boot": peer.instance.boot,
                    "domain": peer.domain,
                    "version": peer.version,
                    "state": live if usable else "silent",
                    "heard_seconds_ago": round(now - peer.last_seen_at, 1),
                }
            )
        return write_json(
            request,
            {
                "version": components.configuration.document.version,
                "partner": partner,
                "platform_reachable": components.platform.reachable,
                "instances": sorted(instances, key=lambda one: str(one["name"])),
            },
        )

    async def _show_budgets(self, request: Request, partner: str) -> bytes:
        platform = self._components.platform
        rows = await platform.run(read_rows(prefixes=(BUDGET_PREFIX,)))
        accounts = await platform.run(read_accounts())
        grants = await platform.run(list_grants())
        if (
            isinstance(rows, Unreachable)
            or isinstance(accounts, Unreachable)
            or isinstance(grants, Unreachable)
        ):
            return _write_unreachable(request)
        budgets = []
        for row in rows.list_with_prefix(BUDGET_PREFIX):
            workspace = row.key.removeprefix(BUDGET_PREFIX)
            budget = load_budget(row)
            if budget is None or not self._owns(partner, workspace):
                continue
            own = [one for one in grants if one.row.workspace == workspace]
            held = sum(one.reserve for grant in own for one in grant.row.held.values())
            account = accounts.get(workspace)
            by_instance: dict[str, int] = {}
            for grant in own:
                name = grant.grant.holder.name
                by_instance[name] = by_instance.get(name, 0) + grant.row.amount
            budgets.append(
                {
                    "workspace": workspace,
                    "limit": budget.limit,
                    "granted": budget.granted,
                    "billed": 0 if account is None else account.billed,
                    "requests": 0 if account is None else account.requests,
                    "surplus": 0 if account is None else account.surplus,
                    "held": held,
                    "granted_to": by_instance,
                }
            )
        return write_json(request, {"budgets": budgets})

    def _owns(self, partner: str, workspace: str) -> bool:
        document = self._components.configuration.document
        for kind in (Budget, Workspace):
            entity = document.find(kind, workspace)
            if entity is not None:
                return bool(entity.partner == partner)
        return False

    async def _show_bill(self, request: Request, partner: str, workspace: str) -> bytes:
        if not self._owns(partner, workspace):
            return write_error(request, NOT_FOUND, "workspace_not_found", workspace)
        statement = await self._components.platform.run(read_statement(workspace))
        if isinstance(statement, Unreachable):
            return _write_unreachable(request)
        return write_json(
            request,
            {
                "workspace": workspace,
                "billed": statement.account.billed,
                "surplus": statement.account.surplus,
                "requests": {
                    key: {"tokens": one.tokens, "attempts": list(one.attempts)}
                    for key, one in statement.requests.items()
                },
                "pending": [
                    {"key": one.key, "tokens": one.tokens, "attempt": one.attempt}
                    for one in statement.pending
                ],
            },
        )

    async def _show_upstreams(self, request: Request, partner: str) -> bytes:
        upstreams = [
            {
                "name": one.name,
                "kind": one.kind,
                "domain": one.domain,
                "partner": one.partner,
                "state": one.state.value,
                "load_tokens": one.load,
                "running_here": one.running,
                "serves": [list(pair) for pair in one.report.models]
                if one.report
                else [],
            }
            for one in self._components.upstreams.known.values()
        ]
        return write_json(request, {"upstreams": upstreams})

    async def _drain(self, request: Request, partner: str, name: str) -> bytes:
        upstream = self._components.upstreams.known.get(name)
        if upstream is None:
            return write_error(request, NOT_FOUND, "upstream_not_found", name)
        if upstream.partner not in ("", partner):
            return write_error(
                request, FORBIDDEN, "not_owner", f"belongs to {upstream.partner}"
            )
        self._components.upstreams.mark_leaving([name])
        self._components.peers.announce()
        stored = await self._components.platform.run(store_drain(name))
        return write_json(request, {"upstream": name, "stored": stored})

    async def _dump(self, request: Request, partner: str) -> bytes:
        return write_json(request, dump_state(self._components))


def _write_unreachable(request: Request) -> bytes:
    request.setHeader("Retry-After", "2")
    return write_error(
        request, UNAVAILABLE, "platform_unreachable", "the platform does not answer"
    )


def _write_confirm(request: Request, outcome: ConfirmOutcome) -> bytes:
    match outcome:
        case Confirmed(plan, version):
            return write_json(
                request, {"state": "confirmed", "plan": plan.id, "version": version}
            )
        case AwaitingConsent(plan):
            missing_consents = sorted(plan.missing_consents())
            content = {
                "state": "awaiting-consent",
                "plan": plan.id,
                "missing": missing_consents,
            }
            return write_json(request, content, ACCEPTED)
        case PlanOutdated(plan, head, subject):
            return write_error(
                request,
                CONFLICT,
                "plan_outdated",
                f"made for version {plan.base}, but {subject} changed by version "
                f"{head}; plan again",
                base=plan.base,
                head=head,
            )
        case BudgetTooLow(workspace, wanted, granted):
            return write_error(
                request,
                CONFLICT,
                "budget_too_low",
                f"{granted} tokens of {workspace} are granted or spent; "
                f"the limit cannot be lowered to {wanted}, the lowest now is {granted}",
                param=f"budget {workspace}.tokens",
                lowest=granted,
            )
        case PlanUnknown():
            return write_error(request, NOT_FOUND, "plan_not_found", "no such plan")
        case Unreachable() | OutcomeUnknown():
            return _write_unreachable(request)
