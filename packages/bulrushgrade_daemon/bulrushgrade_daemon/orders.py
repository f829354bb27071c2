"""Sends orders to engines over HTTP."""

from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from twisted.internet import defer

from bulrushgrade import engineorder
from bulrushgrade_daemon import httpclient

# An engine answers an order at once or not at all. The timeout closes the
# connection, so what is written later than this after the check of the lease
# meets a closed connection at the engine.
ORDER_TIMEOUT_S = 3.0


class OrderClient:
    """Sends each order on a separate connection."""

    name = "orders"
    requires = ()

    def __init__(self, *, reactor: Any):
        self._reactor = reactor
        self._counts = dict.fromkeys(
            ("accepted", "busy", "stale", "lost", "not_sent", "drains"), 0
        )
        self._sending: set[str] = set()

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    async def start(self) -> None:
        """Does nothing: each order opens its own connection."""

    async def stop(self) -> None:
        """Does nothing: no connection outlives its order."""

    def receive(self, message: Any) -> None:
        """Ignores messages: no service sends any here."""

    def dump(self) -> dict[str, Any]:
        """Returns the counters and the engines with an order in transit."""
        return {"sending": sorted(self._sending), "counts": self._counts}

    async def send(
        self, order: engineorder.Order, check: Callable[[], bool]
    ) -> engineorder.Reply | None:
        """Sends an order to its engine.

        Args:
            order: The order.
            check: Called right before the write, once the connection is
                open; nothing is written if it returns False.

        Returns:
            The engine's reply, or None if nothing was written.
        """
        if order.engine in self._sending:
            return None
        self._sending.add(order.engine)
        try:
            reply = await self._send(order, check)
        finally:
            self._sending.discard(order.engine)
        self._counts["not_sent" if reply is None else reply.value] += 1
        return reply

    def ask_drain(self, address: str) -> None:
        """Asks an engine to refuse new work.

        The response is ignored: the engine's load report shows whether it
        drains.
        """
        self._counts["drains"] += 1
        client = httpclient.open_client(self._reactor, persistent=False)
        call = defer.Deferred.fromCoroutine(
            httpclient.fetch(client, "POST", f"http://{address}/drain")
        )
        call.addTimeout(ORDER_TIMEOUT_S, self._reactor)
        call.addErrback(lambda _: None)

    async def _send(
        self, order: engineorder.Order, check: Callable[[], bool]
    ) -> engineorder.Reply | None:
        client = httpclient.open_client(
            self._reactor, persistent=False, check=check
        )
        body = {
            "order_id": order.order_id,
            "term": order.number,
            "wanted": attrs.asdict(order.wanted),
        }

        answer = defer.Deferred.fromCoroutine(
            httpclient.fetch(
                client,
                "POST",
                f"http://{order.engine}/orders",
                headers=[("Content-Type", "application/json")],
                body=msgspec.json.encode(body),
            )
        )
        try:
            status, raw = await answer.addTimeout(
                ORDER_TIMEOUT_S, self._reactor
            )
        except Exception as error:
            if httpclient.was_not_sent(error):
                return None
            return engineorder.Reply.LOST
        return parse_reply(status, raw)


def parse_reply(status: int, raw: bytes) -> engineorder.Reply:
    """Parses an engine's response to an order."""
    if status == 202:
        return engineorder.Reply.ACCEPTED
    if status != 409:
        return engineorder.Reply.LOST
    try:
        code = msgspec.json.decode(raw).get("code")
    except (msgspec.MsgspecError, AttributeError):
        return engineorder.Reply.LOST
    if code == "stale_term":
        return engineorder.Reply.STALE
    return engineorder.Reply.BUSY
