"""The caller endpoint: chat completions, the list of models, and plain services."""

from __future__ import annotations

from hashlib import sha256
from secrets import token_hex
from typing import TYPE_CHECKING, Any

from klein import Klein
from pydantic import ValidationError
from twisted.internet.defer import Deferred

from pondquay.configuration.entities import Model, Service
from pondquay.names import RequestName
from pondquay.requests.bounds import bound_prompt_tokens
from pondquay.requests.lifecycle import Outcome
from pondquay_daemon.calls import (
    CompletionCall,
    PlainCall,
    Refusal,
)
from pondquay_daemon.endpoints.completions import (
    BILLED_HEADER,
    OUTCOME_HEADER,
    BufferedResponse,
    CompletionResponse,
    StreamedResponse,
    set_request_header,
    write_refusal,
)
from pondquay_daemon.endpoints.forms import (
    HEADER_NAMES,
    CallHeaders,
    CompletionForm,
    digest_content,
    name_prefix,
)
from pondquay_daemon.endpoints.responses import (
    BAD_REQUEST,
    NOT_FOUND,
    TOO_LARGE,
    UNAUTHORIZED,
    UNAVAILABLE,
    digest_key,
    read_bearer,
    read_json,
    write_error,
    write_json,
)
from pondquay_daemon.services import ServiceCall

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime
    from twisted.web.server import Request

    from pondquay.configuration.documents import Document
    from pondquay.configuration.entities import Workspace
    from pondquay_daemon.configuration import ConfigurationTask
    from pondquay_daemon.metrics import Metrics
    from pondquay_daemon.runner import Runner
    from pondquay_daemon.settings import LimitsSection

GENERATED_KEY_BYTES = 16
FORWARDED_REQUEST_HEADERS = ("Content-Type", "Accept", "If-Match", "If-None-Match")
METHODS = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]


class RejectedError(Exception):
    """A request is rejected before it runs; it is not charged.

    :param param: name of the invalid field or header
    """

    def __init__(
        self, status: int, code: str, message: str, param: str | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.param = param


class CallerEndpoint:
    """Serves models, chat completions and plain services to callers."""

    def __init__(
        self,
        clock: IReactorTime,
        limits: LimitsSection,
        configuration: ConfigurationTask,
        runner: Runner,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._configuration = configuration
        self._runner = runner
        self._metrics = metrics
        self.app = Klein()
        self.app.route("/v1/models", methods=["GET"])(self.list_models)
        self.app.route("/v1/chat/completions", methods=["POST"])(self.complete)
        self.app.route("/services/<name>/<path:path>", methods=METHODS)(self.call)
        self.app.route("/services/<name>/", methods=METHODS, defaults={"path": ""})(
            self.call
        )
        handler: Any = self.show_rejected
        self.app.handle_errors(RejectedError)(handler)

    def show_rejected(self, request: Request, failure: Any) -> bytes:
        """Return the error response to a rejected request."""
        error: RejectedError = failure.value
        request.setHeader(OUTCOME_HEADER, Outcome.NOT_RUN.value)
        self._count("rejected", error.code)
        return write_error(request, error.status, error.code, str(error), error.param)

    def _count(self, kind: str, code: str) -> None:
        self._metrics.requests.labels(kind, code).inc()

    @property
    def _document(self) -> Document:
        return self._configuration.document

    def _find_workspace(self, request: Request) -> Workspace:
        key = read_bearer(request)
        workspace = None
        if key is not None:
            workspace = self._document.find_workspace_by_digest(digest_key(key))
        if workspace is not None:
            return workspace
        if not self._configuration.loaded:
            raise RejectedError(UNAVAILABLE, "not_ready", "no configuration yet")
        raise RejectedError(UNAUTHORIZED, "invalid_api_key", "this key is not known")

    # Models

    def list_models(self, request: Request) -> bytes:
        """Return the list of models."""
        self._find_workspace(request)
        models = sorted(self._document.list(Model), key=lambda model: model.name)
        data = [
            {
                "id": model.name,
                "object": "model",
                "created": 0,
                "owned_by": model.partner,
            }
            for model in models
        ]
        return write_json(request, {"object": "list", "data": data})

    # Chat completions

    def complete(self, request: Request) -> Deferred[Any]:
        """Run a chat completion."""
        workspace = self._find_workspace(request)
        self._check_size(request)
        form = self._read_form(request)
        headers = read_headers(request)
        call = self._make_completion(workspace, form, headers)
        started_at = self._clock.seconds()
        response: CompletionResponse
        if form.stream:
            include_usage = bool(
                form.stream_options and form.stream_options.include_usage
            )
            response = StreamedResponse(request, call, include_usage)
        else:
            response = BufferedResponse(request, call)
        response.set_first_callback(lambda: self._observe_first_token(started_at))
        return Deferred.fromCoroutine(self._complete(call, response))

    def _observe_first_token(self, started_at: float) -> None:
        self._metrics.first_token.observe(self._clock.seconds() - started_at)

    async def _complete(
        self, call: CompletionCall, response: CompletionResponse
    ) -> Any:
        result = await self._runner.complete(call, response)
        code = result.code.value if isinstance(result, Refusal) else "done"
        self._count("completion", code)
        return response.end(result)

    def _check_size(self, request: Request) -> None:
        if getattr(request, "too_large", False):
            max_bytes = self._limits.body_bytes
            raise RejectedError(
                TOO_LARGE, "body_too_large", f"the body is over {max_bytes} bytes"
            )

    def _read_form(self, request: Request) -> CompletionForm:
        try:
            return CompletionForm.model_validate(read_json(request))
        except ValidationError as error:
            first = error.errors()[0]
            param = ".".join(str(key) for key in first["loc"])
            raise RejectedError(
                BAD_REQUEST, "invalid_value", f"{param}: {first['msg']}", param
            ) from error
        except (ValueError, RecursionError) as error:
            raise RejectedError(
                BAD_REQUEST, "invalid_json", "the body is not JSON"
            ) from error

    def _make_completion(
        self, workspace: Workspace, form: CompletionForm, headers: CallHeaders
    ) -> CompletionCall:
        model = self._document.find(Model, form.model)
        if model is None:
            raise RejectedError(
                NOT_FOUND, "model_not_found", f"no model {form.model!r}", "model"
            )
        limit = form.limit or model.output_limit
        if limit > model.output_limit:
            raise RejectedError(
                BAD_REQUEST,
                "invalid_value",
                f"at most {model.output_limit} output tokens can be asked for",
                "max_completion_tokens" if form.max_completion_tokens else "max_tokens",
            )
        texts = [message.text for message in form.messages]
        messages = tuple(
            {"role": message.role, "content": message.text} for message in form.messages
        )
        return CompletionCall(
            request=RequestName(workspace.name, headers.key or make_key()),
            workspace=workspace,
            keyed=headers.key is not None,
            repeatable=headers.repeatable != "no",
            priority=headers.priority or workspace.priority,
            wait=self._limit_wait(headers),
            content_digest=digest_content([form.model, messages, limit]),
            model=form.model,
            messages=messages,
            max_tokens=limit,
            max_prompt_tokens=bound_prompt_tokens(texts),
            prefix=name_prefix(texts),
        )

    def _limit_wait(self, headers: CallHeaders) -> float:
        max_seconds = self._limits.queue_seconds
        if headers.deadline_ms is None:
            return max_seconds
        return min(max_seconds, headers.deadline_ms / 1000)

    # Plain services

    def call(self, request: Request, name: str, path: str) -> Deferred[Any]:
        """Forward a call to a plain service."""
        workspace = self._find_workspace(request)
        self._check_size(request)
        headers = read_headers(request)
        service = self._document.find(Service, name)
        if service is None:
            raise RejectedError(
                NOT_FOUND, "service_not_found", f"no service {name!r}", "service"
            )
        call = self._make_plain(request, workspace, service, path, headers)
        return Deferred.fromCoroutine(self._call(request, call))

    def _make_plain(
        self,
        request: Request,
        workspace: Workspace,
        service: Service,
        path: str,
        headers: CallHeaders,
    ) -> PlainCall:
        method = request.method.decode("ascii")
        assert request.content is not None
        request.content.seek(0)
        body = request.content.read()
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        target = f"{path}?{query}" if query else path
        repeatable = method in service.repeatable
        if headers.repeatable is not None:
            repeatable = headers.repeatable == "yes"
        forwarded = {
            header: value
            for header in FORWARDED_REQUEST_HEADERS
            if (value := request.getHeader(header))
        }
        return PlainCall(
            request=RequestName(workspace.name, headers.key or make_key()),
            workspace=workspace,
            keyed=headers.key is not None,
            repeatable=repeatable,
            priority=headers.priority or workspace.priority,
            wait=self._limit_wait(headers),
            content_digest=sha256(f"{method} {target}\n".encode() + body).hexdigest(),
            service=service.name,
            price=service.price,
            call=ServiceCall(method, target, body, forwarded),
        )

    async def _call(self, request: Request, call: PlainCall) -> bytes:
        result = await self._runner.call_service(call)
        set_request_header(request, call.request)
        if isinstance(result, Refusal):
            self._count("service", result.code.value)
            return write_refusal(request, result)
        self._count("service", "done")
        request.setResponseCode(result.status)
        request.setHeader(OUTCOME_HEADER, Outcome.DONE.value)
        request.setHeader(BILLED_HEADER, str(result.tokens))
        for name, value in result.headers.items():
            request.setHeader(name, value)
        return result.body


def make_key() -> str:
    """Return a random key for a request without an idempotency key."""
    return f"auto-{token_hex(GENERATED_KEY_BYTES)}"


def read_headers(request: Request) -> CallHeaders:
    """Parse the headers that control how a request is handled.

    :raises RejectedError: if a header is malformed
    """
    values = {
        field: value
        for field, name in HEADER_NAMES.items()
        if (value := request.getHeader(name)) is not None
    }
    try:
        return CallHeaders.model_validate(values)
    except ValidationError as error:
        first = error.errors()[0]
        name = HEADER_NAMES[str(first["loc"][0])]
        raise RejectedError(
            BAD_REQUEST, "invalid_header", f"{name}: {first['msg']}", name
        ) from error
