"""Orders that an engine takes, and the change of state that each brings.

An order makes the engine refuse new work, wait until the work in flight is
done, be away for its change time, and come back in the wanted state. A crash
in between loses the order: the engine is down for a while and comes back in
its old state.
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
    """The state that an order asks for, or that an engine is in."""

    role: str = "mixed"
    model: str = "model"
    version: str = "1"
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Order:
    """An order as it comes over the wire."""

    order_id: str
    term: int
    wanted: Wanted


@attrs.frozen(kw_only=True)
class Settings:
    """How an engine takes orders.

    Attributes:
        fencing: Refuses an order with a lower term than one it has seen.
        overlap: Takes another order while a change runs, as an engine that
            checks nothing does; else it answers that it is busy.
        change_s: Seconds away for a change.
        weights: Where to load another model or version from, as ``IP:PORT``;
            empty loads nothing.
    """

    fencing: bool = True
    overlap: bool = False
    change_s: float = 3.0
    weights: str = ""


class OrderExecutor:
    """The engine's state and the order it holds."""

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
        """Makes the state of an engine that serves.

        Args:
            start: The state it starts in.
            settings: How it takes orders.
            ledger_entries: Where each order is entered.
            is_idle: Says whether no work is in flight.
            next_crash_s: Asked once a change: seconds of being down after a
                crash partway, or None for a change that comes to its end.
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
        """Refuses new work until an order ends it."""
        if self._state == "serving":
            self._state = "draining"

    def submit(self, order: Order) -> str:
        """Takes an order; returns ``""``, or why it is refused."""
        if self._settings.fencing and order.term < self._highest_term:
            return "stale_term"
        self._highest_term = max(order.term, self._highest_term)
        if self._order is not None:
            if order.order_id == self._order.order_id:
                # Sent again, by a later holder perhaps: the same change goes
                # on and counts as ordered under the later term.
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
        """Goes on with a change once the work in flight is done."""
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
    """Returns the order in a body, or None."""
    try:
        order = msgspec.json.decode(raw, type=Order)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return order if order.wanted.role in _ROLES else None


def describe_state(changes: OrderExecutor) -> dict[str, Any]:
    """Returns the part of a load report that is always fresh."""
    return {
        **attrs.asdict(changes.current),
        "state": changes.state,
        "order_id": changes.last_order_id,
        "term": changes.last_order_term,
    }
