"""Builds jobs from callers' HTTP requests, or refuses them."""

from collections.abc import Callable
import itertools
from typing import Any

from returns.result import Failure

from bulrushgrade import document
from bulrushgrade import serviceindex
from bulrushgrade import servicespec
from bulrushgrade import work as work_module
from bulrushgrade_daemon import plain
from bulrushgrade_daemon import plainrelay
from bulrushgrade_daemon import refusal
from bulrushgrade_daemon import relay
from bulrushgrade_daemon import reply
from bulrushgrade_daemon import request as request_module

SERVICES_PREFIX = "/services/"
SERVICE_HEADER = "X-Service"
REQUEST_HEADER = "X-Request-Id"
DEFAULT_KEY_HEADER = "Idempotency-Key"
MAX_CALLER_ID_LENGTH = 128
MAX_KEY_BYTES = 256
JSON_TYPE = "application/json"


class JobBuilder:
    """Builds jobs by the accepted documents and assigns request ids."""

    def __init__(
        self,
        *,
        timers: Any,
        service_index: Callable[[], serviceindex.ServiceIndex],
        prefix: str,
    ):
        """Creates the builder for one run of a daemon.

        Args:
            timers: Gives the arrival times of requests.
            service_index: Returns the accepted documents.
            prefix: Prefix of all request ids; unique for this run.
        """
        self._timers = timers
        self._service_index = service_index
        self._prefix = prefix
        self._numbers = itertools.count(1)

    def make_model_job(
        self, http_request: Any
    ) -> tuple[relay.ModelJob, reply.ModelReply] | refusal.Refusal:
        """Returns the job of a model request and the reply that answers it."""
        content_type = http_request.getHeader("Content-Type") or ""
        if content_type.split(";")[0].strip().lower() != JSON_TYPE:
            return refusal.bad_request(
                f"Content-Type must be {JSON_TYPE}",
                status=415,
                code="unsupported_media_type",
            )
        parsed = request_module.parse_completion(
            http_request.content.read(), http_request.path.decode()
        )
        if isinstance(parsed, Failure):
            return parsed.failure()
        completion_request = parsed.unwrap()
        service = self._find_model_service(
            completion_request.model, http_request.getHeader(SERVICE_HEADER)
        )
        if isinstance(service, refusal.Refusal):
            return service
        return self._build_model_job(http_request, completion_request, service)

    def _find_model_service(
        self, name: str, wanted: str | None
    ) -> document.ServiceDocument | refusal.Refusal:
        found = self._service_index().find_model_services(wanted or name)
        if not found:
            return refusal.bad_request(
                f"no service offers the model {name!r}",
                status=404,
                code="unknown_model",
            )
        if len(found) > 1:
            names = ", ".join(sorted(s.service for s in found))
            return refusal.bad_request(
                f"{name!r} is offered by {names}: name one of them in"
                f" {SERVICE_HEADER}",
                code="ambiguous_model",
            )
        return found[0]

    def _build_model_job(
        self,
        http_request: Any,
        completion_request: request_module.CompletionRequest,
        service: document.ServiceDocument,
    ) -> tuple[relay.ModelJob, reply.ModelReply]:
        now = self._timers.now
        request_id = self._new_id()
        prompt_tokens = work_module.estimate_tokens(completion_request.text)
        limits = servicespec.find_deadline_class(
            service.deadlines,
            prompt_tokens=prompt_tokens,
            answer_tokens=completion_request.max_tokens,
            headers=read_headers(http_request),
        )
        route = servicespec.find_route(
            service.routes, method="POST", path=completion_request.path
        )
        work = work_module.Work(
            request_id=request_id,
            service=service.service,
            team=service.team,
            model=serviceindex.choose_model(service, completion_request.model),
            prompt_tokens=prompt_tokens,
            output_tokens=completion_request.max_tokens,
            prefix=work_module.prefix_blocks(completion_request.text),
            deadline=now + limits.whole_answer_s,
            first_token_deadline=_add_limit(now, limits.first_token_s),
            between_tokens_s=limits.between_tokens_s,
            priority=service.share.priority,
            repeatable=route is None or route.repeatable,
        )
        answer = reply.ModelReply(
            http_request=http_request,
            request_id=request_id,
            completion_request=completion_request,
        )
        job = relay.ModelJob(
            request_id=request_id,
            caller_id=_caller_id(http_request) or request_id,
            completion_request=completion_request,
            service=service,
            model=work.model,
            limits=limits,
            work=work,
            arrived_s=now,
            on_event=answer.write_event,
        )
        answer.bind(job)
        return job, answer

    def make_plain_job(
        self, http_request: Any
    ) -> plainrelay.PlainJob | refusal.Refusal:
        """Returns the job of a request for a plain service."""
        uri = http_request.uri.decode("latin-1")
        name, _, rest = uri[len(SERVICES_PREFIX) :].partition("/")
        service = self._service_index().find_plain_service(name)
        if service is None:
            return refusal.bad_request(
                f"there is no plain service {name!r}",
                status=404,
                code="unknown_service",
            )
        method = http_request.method.decode("latin-1")
        path = "/" + rest.partition("?")[0]
        route = servicespec.find_route(service.routes, method=method, path=path)
        repeatable = servicespec.is_repeatable(
            service.routes, method=method, path=path
        )
        key = _read_key(http_request, route)
        if isinstance(key, refusal.Refusal):
            return key
        return self._build_plain_job(
            http_request, service, route, f"/{rest}", repeatable, key
        )

    def _build_plain_job(
        self,
        http_request: Any,
        service: document.ServiceDocument,
        route: servicespec.Route | None,
        path: str,
        repeatable: bool,
        key: str | None,
    ) -> plainrelay.PlainJob:
        now = self._timers.now
        request_id = self._new_id()
        limits = servicespec.find_deadline_class(
            service.deadlines, headers=read_headers(http_request)
        )
        for named in service.deadlines:
            if route is not None and named.name == route.deadline:
                limits = named
        return plainrelay.PlainJob(
            request_id=request_id,
            caller_id=_caller_id(http_request) or request_id,
            service=service,
            method=http_request.method.decode("latin-1"),
            path=path,
            headers=plain.drop_hop_by_hop_headers(_all_headers(http_request)),
            body=http_request.content.read(),
            key=key,
            work=work_module.Work(
                request_id=request_id,
                service=service.service,
                team=service.team,
                deadline=now + limits.whole_answer_s,
                priority=service.share.priority,
                repeatable=repeatable,
            ),
        )

    def _new_id(self) -> str:
        return f"{self._prefix}-{next(self._numbers)}"


def read_headers(http_request: Any) -> dict[str, str]:
    """Returns the first value of each header, by name in lower case."""
    headers: dict[str, str] = {}
    for name, value in _all_headers(http_request):
        headers.setdefault(name.lower(), value)
    return headers


def _all_headers(http_request: Any) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in http_request.requestHeaders.getAllRawHeaders()
        for value in values
    ]


def _caller_id(http_request: Any) -> str | None:
    given = http_request.getHeader(REQUEST_HEADER)
    if given and len(given) <= MAX_CALLER_ID_LENGTH and given.isprintable():
        return given
    return None


def _read_key(
    http_request: Any, route: servicespec.Route | None
) -> str | None | refusal.Refusal:
    header = DEFAULT_KEY_HEADER
    if route is not None and route.idempotency_header is not None:
        header = route.idempotency_header
    key = http_request.getHeader(header)
    if key is not None and not 1 <= len(key) <= MAX_KEY_BYTES:
        return refusal.bad_request(
            f"{header} must have 1 to {MAX_KEY_BYTES} bytes"
        )
    return key


def _add_limit(now: float, limit_s: float | None) -> float | None:
    return None if limit_s is None else now + limit_s
