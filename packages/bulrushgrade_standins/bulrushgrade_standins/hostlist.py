"""A stand-in for the platform's host list, which shows changes late."""

from typing import Any

import attrs
import klein
from twisted.internet import reactor

from bulrushgrade_standins import server


@attrs.define(kw_only=True)
class HostListFaults:
    """Faults of the host list.

    Attributes:
        outage: Answers reads with 503.
        silent: Does not answer reads.
        nonsense: Answers reads with bytes that aren't JSON.
    """

    outage: bool = False
    silent: bool = False
    nonsense: bool = False


class HostList:
    """The list as readers see it, and the HTTP app that serves it."""

    def __init__(self, *, lag_s: float = 0.0):
        self._lag_s = lag_s
        self._latest_version = 0
        self._visible: dict[str, Any] = {"version": 0, "hosts": []}
        self._faults = HostListFaults()
        self._app = klein.Klein()
        self._app.route("/hosts", methods=["GET"])(self._get_hosts)
        self._app.route("/hosts", methods=["PUT"])(self._put_hosts)
        server.add_fault_routes(
            app=self._app,
            kind=HostListFaults,
            read=lambda: self._faults,
            write=self._set_faults,
        )

    @property
    def app(self) -> klein.Klein:
        """The HTTP app."""
        return self._app

    def set_hosts(
        self, hosts: list[dict[str, Any]], *, lag_s: float | None = None
    ) -> int:
        """Sets the list; readers see it after the lag.

        Args:
            hosts: Entries as specified in docs/WIRE.md.
            lag_s: Lag of this change in seconds; None uses the default lag.

        Returns:
            The version under which readers will see it.
        """
        self._latest_version += 1
        seen = {"version": self._latest_version, "hosts": hosts}
        delay_s = self._lag_s if lag_s is None else lag_s
        if delay_s > 0:
            reactor.callLater(delay_s, self._publish, seen)
        else:
            self._publish(seen)
        return self._latest_version

    def _publish(self, seen: dict[str, Any]) -> None:
        # A change with a long lag must not replace a later one with a short
        # lag.
        if seen["version"] > self._visible["version"]:
            self._visible = seen

    def _set_faults(self, faults: HostListFaults) -> None:
        self._faults = faults

    def _get_hosts(self, request: Any) -> Any:
        if self._faults.silent:
            return server.never_answer()
        if self._faults.outage:
            return server.answer(request, {"code": "outage"}, code=503)
        if self._faults.nonsense:
            return b"<nonsense>"
        return server.answer(request, self._visible)

    def _put_hosts(self, request: Any) -> bytes:
        raw = server.read_json(request)
        if raw is None or not isinstance(raw.get("hosts"), list):
            return server.answer(request, {"code": "bad_hosts"}, code=400)
        version = self.set_hosts(raw["hosts"], lag_s=raw.get("lag_s"))
        return server.answer(request, {"version": version})
