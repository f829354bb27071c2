"""Judges whether an endpoint has crashed, with the word of peers.

A host that can't connect to an endpoint may have lost its own link to it. The
endpoint has crashed if peers with sound links can't connect to it either. If
no host's links are sound, that can't be known, and the check goes on.
"""

import enum
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Success
from twisted.internet import protocol

from bulrushgrade import directory as directory_module
from bulrushgrade_daemon import connections
from bulrushgrade_daemon import endpointconnector
from bulrushgrade_daemon import task

MAX_JUDGES = 5
"""Number of peers that are asked at a time. Several hosts may have lost the
link to the same endpoint; one that reaches it is enough."""

MAX_SILENCE_S = 1.5
"""Time for which an endpoint must not respond to count as crashed. One that
runs may be silent for a second; one that refuses connections has ended."""

REPEAT_S = 0.25
"""Interval between checks of an endpoint that nobody could judge."""

LIMIT_S = 10.0
"""Time after which such an endpoint is no longer checked."""


class Reach(enum.Enum):
    """What is known of an endpoint's crash.

    ALIVE means that a host can connect to it. DISPUTED means that one says that
    others could lately. REFUSED and SILENT mean that no host with sound links
    can, and UNKNOWN that there is no such host.
    """

    ALIVE = "alive"
    DISPUTED = "disputed"
    REFUSED = "refused"
    SILENT = "silent"
    UNKNOWN = "unknown"


_PRECEDENCE = (Reach.ALIVE, Reach.DISPUTED, Reach.REFUSED, Reach.SILENT)


@attrs.frozen(kw_only=True)
class _Finding:
    reach: Reach
    reason: str = ""


class CrashCheck:
    """Checks endpoints whose answers were truncated or silent."""

    def __init__(
        self,
        *,
        timers: Any,
        connector: endpointconnector.EndpointConnector,
        endpoints: directory_module.Directory,
    ):
        """Creates the check.

        Args:
            timers: The timer service.
            connector: Opens connections, also by way of peers.
            endpoints: The known endpoints.
        """
        self._timers = timers
        self._connector = connector
        self._endpoints = endpoints

    async def find_crash(
        self, endpoint: directory_module.Registration
    ) -> str | None:
        """Returns why an endpoint counts as crashed, None if it doesn't."""
        began = silent_since = self._timers.now
        while True:
            finding = await self._check(endpoint)
            now = self._timers.now
            if finding.reach is Reach.ALIVE:
                return None
            if finding.reach is Reach.REFUSED:
                return finding.reason
            if finding.reach is not Reach.SILENT:
                silent_since = now
            elif now - silent_since >= MAX_SILENCE_S:
                return finding.reason
            if now - began >= LIMIT_S:
                return None
            if not self._endpoints.knows(endpoint.incarnation):
                # It may as well have left.
                return None
            await self._timers.sleep(REPEAT_S)

    async def _check(self, endpoint: directory_module.Registration) -> _Finding:
        began = self._timers.now
        own = await self._find_connect_error(endpoint)
        if own is None:
            return _Finding(reach=Reach.ALIVE)
        judges = self._connector.pick_judges(MAX_JUDGES)
        findings = await task.gather(
            self._ask(peer, endpoint) for peer in judges
        )
        for reach in _PRECEDENCE:
            for finding in findings:
                if finding.reach is reach:
                    return finding
        if await self._connector.may_judge(endpoint, began):
            if own.is_refused and await self._can_connect(endpoint):
                # The links of this host came back in between.
                return _Finding(reach=Reach.ALIVE)
            reach = Reach.REFUSED if own.is_refused else Reach.SILENT
            return _Finding(reach=reach, reason=own.reason)
        return _Finding(reach=Reach.UNKNOWN, reason=own.reason)

    async def _can_connect(
        self, endpoint: directory_module.Registration
    ) -> bool:
        return await self._find_connect_error(endpoint) is None

    async def _find_connect_error(
        self, endpoint: directory_module.Registration
    ) -> connections.ConnectFailed | None:
        opened = await self._connector.open_direct(endpoint, protocol.Protocol)
        if isinstance(opened, Failure):
            return opened.failure()
        opened.unwrap().transport.abortConnection()
        return None

    async def _ask(
        self, peer: str, endpoint: directory_module.Registration
    ) -> _Finding:
        match await self._connector.connect_by(peer, endpoint):
            case Success(connected):
                connected.client.transport.abortConnection()
                return _Finding(reach=Reach.ALIVE)
            case Failure(failed):
                if failed.is_link_lost:
                    return _Finding(reach=Reach.DISPUTED)
                if failed.cause is not endpointconnector.Cause.UNREACHED:
                    return _Finding(reach=Reach.UNKNOWN)
                reach = Reach.REFUSED if failed.is_refused else Reach.SILENT
                return _Finding(reach=reach, reason=failed.reason)
