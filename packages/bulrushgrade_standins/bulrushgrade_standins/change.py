"""Orders that an engine accepts, and the configuration change of each.

An order makes the engine reject new work, wait until the work in flight is
done, be unavailable for its change time, and serve again in the wanted state.
A crash during the change loses the order: the engine is down for a while and
comes back in its old state.
"""

from collections.abc import Callable
import time
from typing import Any

import attrs
import msgspec
import treq
from twisted.internet import defer
from twisted.internet import reactor

from bulrushgrade_standins import ledger
from bulrushgrade_standins import server

_WEIGHTS_RETRY_S = 1.0
_ROLES = ("prefill", "decode", "mixed")


@attrs.frozen(kw_only=True)
class Wanted:
    """The configuration that an order asks for, or that an engine has."""

    role: str = "mixed"
    model: str = "model"
    version: str = "1"
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Order:
    """An order, with its fields named as on the wire."""

    order_id: str
    term: int
    wanted: Wanted


@attrs.frozen(kw_only=True)
class Settings:
    """Settings for how an engine handles orders.

    Attributes:
        fencing: Whether to reject an order with a lower term than one seen
            before.
        overlap: Whether to accept another order while a change runs, like an
            engine without checks; otherwise the engine answers ``busy``.
        change_s: Duration of a change, in seconds.
        weights: Address of the weight store to load another model or version
            from, as ``IP:PORT``; if empty, nothing is loaded.
    """

    fencing: bool = True
    overlap: bool = False
    change_s: float = 3.0
    weights: str = ""


class OrderExecutor:
    """The state of an engine and the order that it carries out."""

    def __init__(
        self,
        *,
        start: Wanted,
        settings: Settings,
        ledger_entries: ledger.Ledger,
        is_idle: Callable[[], bool],
        next_crash_s: Callable[[], float | None],
        on_changed: Callable[[], None],
    ):
        """Creates the state of an engine that serves.

        Args:
            start: The initial configuration.
            settings: How the engine handles orders.
            ledger_entries: The ledger that records each order.
            is_idle: Returns whether no work is in flight.
            next_crash_s: Called once per change; returns the downtime after a
                crash partway, or None for a change that completes.
            on_changed: Called when a change has taken effect.
        """
        self._settings = settings
        self._ledger_entries = ledger_entries
        self._is_idle = is_idle
        self._next_crash_s = next_crash_s
        self._on_changed = on_changed
        self._state = "serving"
        self._current = start
        self._order: Order | None = None
        self._last_order_id = ""
        self._last_order_term = 0
        self._highest_term = 0

    @property
    def state(self) -> str:
        """``serving``, ``draining``, ``changing`` or ``down``."""
        return self._state

    @property
    def current(self) -> Wanted:
        """The role, model, version and adapters in effect."""
        return self._current

    @property
    def last_order_id(self) -> str:
        """The id of the last order that took effect."""
        return self._last_order_id

    @property
    def last_order_term(self) -> int:
        """The term of the last order that took effect."""
        return self._last_order_term

    def drain(self) -> None:
        """Rejects new work until an order has taken effect."""
        if self._state == "serving":
            self._state = "draining"

    def submit(self, order: Order) -> str:
        """Accepts an order; returns ``""``, or the reason for rejecting it."""
        if self._settings.fencing and order.term < self._highest_term:
            return "stale_term"
        self._highest_term = max(order.term, self._highest_term)
        if self._order is not None:
            if order.order_id == self._order.order_id:
                # The order was sent again, perhaps by a later lease holder: the
                # same change continues, now under the later term.
                self._order = order
                return ""
            if not self._settings.overlap:
                return "busy"
        elif order.order_id == self._last_order_id:
            self._last_order_term = max(order.term, self._last_order_term)
            return ""
        self._start_order(order)
        return ""

    def check_idle(self) -> None:
        """Starts the ordered change once no work is in flight."""
        ready = self._order is not None and self._state == "draining"
        if ready and self._is_idle():
            self._state = "changing"
            defer.ensureDeferred(self._change())

    def _start_order(self, order: Order) -> None:
        self._ledger_entries.orders.append(
            ledger.OrderEntry(
                order_id=order.order_id,
                term=order.term,
                wanted=attrs.asdict(order.wanted),
                from_s=time.monotonic(),
            )
        )
        self._order = order
        if self._state in ("serving", "draining"):
            if order.wanted == self._current:
                self._finish("done")
            else:
                self._state = "draining"
                self.check_idle()

    async def _change(self) -> None:
        crash_s = self._next_crash_s()
        if crash_s is not None:
            await server.sleep(self._settings.change_s / 2)
            self._state = "down"
            self._order = None
            self._close_entry("crashed")
            await server.sleep(crash_s)
            self._state = "serving"
            return
        await self._load_weights()
        await server.sleep(self._settings.change_s)
        self._finish("done")

    def _finish(self, outcome: str) -> None:
        order = self._order
        self._order = None
        self._current = order.wanted
        self._last_order_id = order.order_id
        self._last_order_term = order.term
        self._state = "serving"
        self._close_entry(outcome)
        self._on_changed()

    def _close_entry(self, outcome: str) -> None:
        now = time.monotonic()
        for held in self._ledger_entries.orders:
            if held.until_s is None:
                held.until_s = now
                held.outcome = outcome

    async def _load_weights(self) -> None:
        wanted = self._order.wanted
        same_model = wanted.model == self._current.model
        same = same_model and wanted.version == self._current.version
        if same or not self._settings.weights:
            return
        path = f"weights/{wanted.model}/{wanted.version}"
        url = f"http://{self._settings.weights}/{path}"
        while True:
            response = await treq.get(url, reactor=reactor)
            await response.content()
            if response.code == 200:
                return
            await server.sleep(_WEIGHTS_RETRY_S)


def parse_order(raw: bytes) -> Order | None:
    """Returns the order in a request body, or None if it is invalid."""
    try:
        order = msgspec.json.decode(raw, type=Order)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return order if order.wanted.role in _ROLES else None


def describe_state(changes: OrderExecutor) -> dict[str, Any]:
    """Returns the fields of a load report that are always up to date."""
    return {
        **attrs.asdict(changes.current),
        "state": changes.state,
        "order_id": changes.last_order_id,
        "term": changes.last_order_term,
    }
