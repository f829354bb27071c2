"""A stand-in for a plain service that echoes requests and records its runs."""

import time
from typing import Any

import attrs
import klein
from twisted.internet import defer

from bulrushgrade_standins import ledger
from bulrushgrade_standins import server

_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"]


@attrs.define(kw_only=True)
class PlainFaults:
    """Faults of the service.

    Attributes:
        refuse: Rejects new requests as not started.
        silent: Runs requests but never answers.
        die_before: Resets the connection before the request has run.
        die_after: Resets the connection after the request has run.
        wrong_attempt: Sends the answers of other attempts, with their ids.
        slow_s: Seconds added to each run.
        times: How many requests the faults except `slow_s` apply to, or None
            for all.
    """

    refuse: bool = False
    silent: bool = False
    die_before: bool = False
    die_after: bool = False
    wrong_attempt: bool = False
    slow_s: float = 0.0
    times: int | None = None


class PlainService:
    """A plain service and the HTTP app that serves it."""

    def __init__(self, *, work_s: float = 0.0):
        self._work_s = work_s
        self._ledger = ledger.Ledger()
        self._faults = PlainFaults()
        self._draining = False
        self._running = 0
        self._idle_waiters: list[defer.Deferred] = []
        self._app = klein.Klein()
        self._app.route("/ledger", methods=["GET"])(self._get_ledger)
        self._app.route("/drain", methods=["POST"])(self._post_drain)
        server.add_fault_routes(
            app=self._app,
            kind=PlainFaults,
            read=lambda: self._faults,
            write=self.set_faults,
        )
        self._app.route("/", methods=_METHODS)(self._run_root)
        self._app.route("/<path:path>", methods=_METHODS)(self._run)

    @property
    def app(self) -> klein.Klein:
        """The HTTP app."""
        return self._app

    @property
    def ledger(self) -> ledger.Ledger:
        """The requests that ran."""
        return self._ledger

    def set_faults(self, faults: PlainFaults) -> None:
        """Replaces the faults in effect."""
        self._faults = faults

    def drain(self) -> defer.Deferred:
        """Rejects new requests; the Deferred fires when none is in flight."""
        self._draining = True
        idle: defer.Deferred = defer.Deferred()
        self._idle_waiters.append(idle)
        self._check_idle()
        return idle

    def _check_idle(self) -> None:
        if self._running == 0:
            waiting, self._idle_waiters = self._idle_waiters, []
            for idle in waiting:
                idle.callback(None)

    def _consume_faults(self) -> PlainFaults:
        """Returns the faults for the next request and counts the request."""
        faults = self._faults
        if faults.times is None:
            return faults
        if faults.times <= 0:
            return PlainFaults(slow_s=faults.slow_s)
        faults.times -= 1
        return attrs.evolve(faults)

    def _run_root(self, request: Any) -> defer.Deferred:
        return defer.ensureDeferred(self._run(request, ""))

    async def _run(self, request: Any, path: str) -> Any:
        faults = self._consume_faults()
        attempt = server.read_header(request, "X-Attempt-Id")
        sent_id = f"{attempt}-other" if faults.wrong_attempt else attempt
        request.setHeader("X-Attempt-Id", sent_id)
        if self._draining or faults.refuse:
            self._ledger.refused += 1
            return server.answer_not_started(request, "refused")
        if faults.die_before:
            return server.abort(request)
        run = ledger.Run(
            attempt=attempt,
            request=server.read_header(request, "X-Request-Id"),
            key=server.read_header(request, "Idempotency-Key"),
            method=request.method.decode(),
            path=f"/{path}",
            at_s=time.monotonic(),
        )
        self._ledger.runs.append(run)
        self._running += 1
        try:
            await server.sleep(self._work_s + faults.slow_s)
            run.ended = "done"
            if faults.silent:
                await server.never_answer()
        except defer.CancelledError:
            run.ended = run.ended or "cut"
            raise
        finally:
            self._running -= 1
            self._check_idle()
        if faults.die_after:
            return server.abort(request)
        body = request.content.read().decode("utf-8", "replace")
        # Like an answer for another caller, it differs in id and content.
        path = f"{run.path}-other" if faults.wrong_attempt else run.path
        echo = {"method": run.method, "path": path, "body": body}
        return server.answer(request, echo)

    def _get_ledger(self, request: Any) -> bytes:
        return server.answer(request, self._ledger)

    def _post_drain(self, request: Any) -> bytes:
        self.drain()
        return server.answer(request, {})
