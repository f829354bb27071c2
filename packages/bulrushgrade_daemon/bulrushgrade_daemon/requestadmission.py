"""Decides which callers' requests are accepted, and refuses the others."""

from collections.abc import Callable
import random
from typing import Any

from twisted.web import http

from bulrushgrade import crashledger
from bulrushgrade import retryshare
from bulrushgrade import routing
from bulrushgrade import workspaces
from bulrushgrade_daemon import dialect as dialect_module
from bulrushgrade_daemon import frontend
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import partsharing
from bulrushgrade_daemon import requestlog


class RequestAdmission:
    """Finds a request's route and workspace, or refuses it."""

    def __init__(
        self,
        *,
        timers: Any,
        dialect: dialect_module.Dialect,
        table: Callable[[], routing.RouteTable | None],
        ledger: crashledger.CrashLedger,
        parts: partsharing.PartSharing,
        ends_in_s: Callable[[], float | None],
        log: requestlog.RequestLog,
        rng: random.Random,
    ):
        """Creates the admission.

        Args:
            timers: The timer service.
            dialect: Translates headers.
            table: Returns the routes in force, or None before the first.
            ledger: Requests that were in flight at endpoints that crashed.
            parts: Prompt parts that crash endpoints.
            ends_in_s: Returns the time that requests arriving now have left,
                None if there is no limit.
            log: Gets a line for each refused request.
            rng: Source of random choices.
        """
        self._timers = timers
        self._dialect = dialect
        self._table = table
        self._ledger = ledger
        self._parts = parts
        self._ends_in_s = ends_in_s
        self._log = log
        self._rng = rng
        self._counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Number of refused requests, by reason."""
        return dict(self._counts)

    def admit(self, caller: frontend.CallerRequest) -> inflight.InFlight | None:
        """Returns an accepted request; answers and drops a refused one."""
        info = self._dialect.read_request_info(caller.requestHeaders)
        table = self._table()
        if table is None:
            self._count("refused_unconfigured")
            self._log.log_unconfigured(info)
            self._refuse(caller, info)
            return None
        hostname = caller.requestHeaders.getRawHeaders(b"host", [b""])[0]
        path = caller.path.decode("latin-1")
        route = table.find(hostname.decode("latin-1"), path)
        if route is None:
            self._count("no_route")
            version = table.configuration.version
            self._log.log_no_route(info, version, hostname, path)
            caller.answer(http.NOT_FOUND, [], b"")
            return None
        workspace = _authenticate(info, table, route)
        if isinstance(workspace, workspaces.Denial):
            self._count("unauthorized")
            version = table.configuration.version
            self._log.log_unauthorized(info, route, version, workspace)
            challenge = self._dialect.challenge
            caller.answer(http.UNAUTHORIZED, challenge, b"")
            return None
        route = table.with_workspace_priority(route, workspace)
        waits_s = inflight.allowed_wait_s(info, route)
        ends_in_s = self._ends_in_s()
        if ends_in_s is not None and waits_s > ends_in_s:
            self._count("refused_stopping")
            self._log.log_stopping(info, route, ends_in_s)
            self._refuse(caller, info)
            return None
        request = inflight.InFlight(
            caller=caller,
            info=info,
            route=route,
            service=routing.pick_service(route, self._rng),
            deadline=caller.arrived_at + waits_s,
            workspace=workspace,
            hides_key=table.configuration.keys is not None,
        )
        if self._refuse_quarantined(request) or self._refuse_parts(request):
            return None
        return request

    def _refuse_quarantined(self, request: inflight.InFlight) -> bool:
        """Refuses a quarantined request; returns whether it did."""
        # No fingerprint is computed while no endpoint has crashed.
        if not len(self._ledger):
            return False
        request.avoid_zones = self._ledger.zones(request.fingerprint)
        left_s = self._ledger.left_s(request.fingerprint, self._timers.now)
        if left_s <= 0:
            return False
        self._count("refused_quarantined")
        crashes = len(self._ledger.involvements(request.fingerprint))
        self._log.log_quarantined(request, crashes, left_s)
        request.caller.refuse(left_s)
        return True

    def _refuse_parts(self, request: inflight.InFlight) -> bool:
        """Refuses a prompt that would crash endpoints; returns whether."""
        blame = self._parts.find_blame(request)
        if blame is None or self._parts.begin_trial(request, blame):
            return False
        self._count("refused_parts")
        left_s = self._parts.count_refusal(blame)
        self._log.log_quarantined_parts(request, blame, left_s)
        request.caller.refuse(left_s)
        return True

    def _refuse(
        self, caller: frontend.CallerRequest, info: dialect_module.RequestInfo
    ) -> None:
        caller.refuse(
            retryshare.choose_retry_after_s(info.deadline_s, self._rng)
        )

    def _count(self, what: str) -> None:
        self._counts[what] = self._counts.get(what, 0) + 1


def _authenticate(
    info: dialect_module.RequestInfo,
    table: routing.RouteTable,
    route: routing.Route,
) -> workspaces.Workspace | workspaces.Denial | None:
    """Returns the workspace of a request, or None if it needs no key.

    Revoking a key doesn't end requests that were accepted before: their
    attempts continue under the workspace found here.
    """
    keys = table.configuration.keys
    if keys is None:
        return None
    found = keys.find(info.key_digests)
    if route.is_public and isinstance(found, workspaces.Denial):
        return None
    return found
