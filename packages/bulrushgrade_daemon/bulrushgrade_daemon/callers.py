"""The HTTP API for callers of an entry host, and its graceful stop."""

from collections.abc import Callable
from typing import Any

import attrs
import klein
from twisted.internet import defer

from bulrushgrade import serviceindex
from bulrushgrade_daemon import jobbuilder
from bulrushgrade_daemon import plain
from bulrushgrade_daemon import plainrelay
from bulrushgrade_daemon import refusal
from bulrushgrade_daemon import relay
from bulrushgrade_daemon import reply
from bulrushgrade_daemon import request as request_module
from bulrushgrade_daemon import settings as settings_module
from bulrushgrade_daemon import site
from bulrushgrade_daemon import task

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
# Retry delay of a host that is not ready or full; another host may be able to
# serve the request at once.
NOT_READY_RETRY_S = 1.0
DRAIN_CHECK_S = 0.05


@attrs.frozen(kw_only=True)
class Dependencies:
    """The services that the HTTP API uses.

    Attributes:
        timers: The timer service.
        relay: Runs model requests.
        plain: Runs requests for plain services.
        service_index: Returns the index of the accepted documents, or None
            before the first one.
        not_ready_reason: Returns why this host can't serve yet, or None.
        on_broken: Called with a description of a broken invariant.
    """

    timers: Any
    relay: relay.Relay
    plain: plainrelay.PlainRelay
    service_index: Callable[[], serviceindex.ServiceIndex | None]
    not_ready_reason: Callable[[], str | None]
    on_broken: Callable[[str], None]


class Callers:
    """Serves callers' HTTP requests."""

    name = "callers"
    requires = ("timer", "relay", "plainrelay", "documents", "hostlist")

    def __init__(
        self,
        *,
        reactor: Any,
        settings: settings_module.Settings,
        incarnation: str,
        dependencies: Dependencies,
    ):
        """Makes the service.

        Args:
            reactor: The reactor that the server runs in.
            settings: The daemon's settings.
            incarnation: Distinguishes this run of the daemon from earlier ones.
            dependencies: The services it uses.
        """
        self._reactor = reactor
        self._settings = settings
        self._limits = settings.limits
        self._dependencies = dependencies
        self._job_builder = jobbuilder.JobBuilder(
            timers=dependencies.timers,
            service_index=dependencies.service_index,
            prefix=f"{settings.host.name}-{incarnation}",
        )
        self._open: set[str] = set()
        self._port: Any = None
        self._stopping = False
        self._counts = dict.fromkeys(
            ("model", "plain", "bad", "not_ready", "stalled"), 0
        )

    @property
    def address(self) -> str:
        """The address that callers connect to, ``IP:PORT``."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    @property
    def counts(self) -> dict[str, int]:
        """The counters by name."""
        return self._counts

    @property
    def open_requests(self) -> int:
        """The number of open requests."""
        return len(self._open)

    async def start(self) -> None:
        """Starts to listen for callers."""
        limits = self._limits
        bounds = site.Bounds(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
            header_timeout_s=limits.header_timeout_s,
            body_timeout_s=limits.body_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            buffer_bytes=limits.buffer_bytes,
        )
        factory = site.CallerSite(
            resource=self._app().resource(),
            bounds=bounds,
            reactor=self._reactor,
        )
        listen = self._settings.listen.callers
        self._port = self._reactor.listenTCP(
            listen.port, factory, interface=listen.host, backlog=1024
        )

    async def stop(self) -> None:
        """Stops without interrupting a request.

        The load balancer continues to send requests for a while after the
        host reports that it is not ready, so these are still served. Then the
        host stops listening and finishes the open requests.
        """
        self._stopping = True
        await self._dependencies.timers.sleep(self._limits.stop_grace_s)
        await defer.maybeDeferred(self._port.stopListening)
        give_up = self._dependencies.timers.now + self._limits.drain_limit_s
        while self._open and self._dependencies.timers.now < give_up:
            await self._dependencies.timers.sleep(DRAIN_CHECK_S)

    def receive(self, message: Any) -> None:
        """Ignores messages; none are sent to this service."""

    def dump(self) -> dict[str, Any]:
        """Returns the counters, the open requests and whether it is ready."""
        return {
            "address": self.address if self._port else None,
            "open": len(self._open),
            "stopping": self._stopping,
            "not_ready": self._not_ready_reason(),
            "counts": dict(self._counts),
        }

    def _app(self) -> klein.Klein:
        app = klein.Klein()
        app.route("/healthz", methods=["GET"])(self._serve_health)
        app.route("/readyz", methods=["GET"])(self._serve_readiness)
        for path in (request_module.COMPLETIONS_PATH, request_module.CHAT_PATH):
            app.route(path, methods=["POST"])(self._handle_completion)
        app.route(
            f"{jobbuilder.SERVICES_PREFIX}<path:rest>",
            methods=list(METHODS),
            merge_slashes=False,
        )(self._handle_plain_request)
        app.handle_errors(Exception)(self._handle_error)
        return app

    def _serve_health(self, http_request: Any) -> bytes:
        return b"ok\n"

    def _serve_readiness(self, http_request: Any) -> bytes:
        reason = self._not_ready_reason()
        if reason is not None:
            http_request.setResponseCode(503)
        return f"{reason or 'ready'}\n".encode()

    def _handle_error(self, http_request: Any, failure: Any) -> bytes:
        status = getattr(failure.value, "code", None)
        if not isinstance(status, int):
            self._dependencies.on_broken(failure.getTraceback())
            status = 500
        refused = refusal.bad_request(
            "no such path or method", status=status, code="not_found"
        )
        return reply.refuse(http_request, refused)

    def _not_ready_reason(self) -> str | None:
        return (
            "stopping"
            if self._stopping
            else self._dependencies.not_ready_reason()
        )

    def _handle_completion(self, http_request: Any) -> Any:
        self._counts["model"] += 1
        job_or_refusal = (
            self._check_admission()
            or self._job_builder.make_model_job(http_request)
        )
        if isinstance(job_or_refusal, refusal.Refusal):
            self._counts["bad"] += 1
            return reply.refuse(http_request, job_or_refusal)
        job, answer = job_or_refusal
        self._set_headers(http_request, job)
        answer.set_flow_control(
            timers=self._dependencies.timers,
            stall_s=self._limits.stall_timeout_s,
            on_stall=lambda: self._cancel_stalled(job),
        )

        async def run() -> bytes:
            return answer.finish(await self._dependencies.relay.run(job))

        return self._run_detached(
            job.request_id, run(), lambda: self._dependencies.relay.cancel(job)
        )

    def _handle_plain_request(self, http_request: Any, rest: str) -> Any:
        self._counts["plain"] += 1
        job = self._check_admission() or self._job_builder.make_plain_job(
            http_request
        )
        if isinstance(job, refusal.Refusal):
            self._counts["bad"] += 1
            return reply.refuse(http_request, job)
        self._set_headers(http_request, job)

        async def run() -> bytes:
            outcome = await self._dependencies.plain.run(job)
            if isinstance(outcome, plain.PlainAnswer):
                return reply.forward_answer(http_request, outcome)
            return reply.refuse(http_request, outcome)

        def on_disconnect() -> None:
            job.caller_disconnected = True

        return self._run_detached(job.request_id, run(), on_disconnect)

    def _run_detached(
        self, request_id: str, work: Any, on_disconnect: Callable[[], None]
    ) -> defer.Deferred:
        """Runs the work of a request independently of the connection.

        A caller that disconnects must not interrupt a step whose outcome has
        to be recorded. So the work is not cancelled; `on_disconnect` is called
        instead.
        """
        answered: defer.Deferred = defer.Deferred(lambda _: on_disconnect())
        self._open.add(request_id)

        async def run() -> None:
            try:
                body = await work
            finally:
                self._open.discard(request_id)
            if not answered.called:
                answered.callback(body)

        task.spawn(
            run(), name=request_id, on_broken=self._dependencies.on_broken
        )
        return answered

    def _set_headers(self, http_request: Any, job: Any) -> None:
        http_request.setHeader(jobbuilder.REQUEST_HEADER, job.caller_id)
        if self._stopping:
            http_request.setHeader("Connection", "close")

    def _cancel_stalled(self, job: relay.ModelJob) -> None:
        self._counts["stalled"] += 1
        self._dependencies.relay.cancel(job)

    def _check_admission(self) -> refusal.Refusal | None:
        reason = self._dependencies.not_ready_reason()
        if reason is not None:
            self._counts["not_ready"] += 1
            return refusal.not_ready(reason, NOT_READY_RETRY_S)
        # Each open request uses buffers on both sides. Without a limit, a
        # flood of requests would exhaust the memory, and the end of the
        # process would interrupt them all.
        if len(self._open) >= self._limits.max_open_requests:
            return refusal.Refusal(
                status=503,
                code="host_full",
                message="this host has too many open requests",
                retry_after_s=NOT_READY_RETRY_S,
            )
        return None
