"""What passes between a holder and one of its engines."""

import enum

import attrs

from bulrushgrade import orderlog


class Reply(enum.Enum):
    """How an order that was written was answered."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    STALE = "stale"
    LOST = "lost"


@attrs.frozen(kw_only=True)
class EngineReport:
    """What an engine reported of itself.

    Attributes:
        state: ``serving``, ``draining``, ``changing`` or ``down``.
        current: What it is.
        order_id: The last order that it took; empty for none.
        number: That order's fencing number; -1 for none.
    """

    state: str
    current: orderlog.Wanted
    order_id: str
    number: int = -1


@attrs.frozen(kw_only=True)
class Order:
    """An order to be written to an engine.

    An engine that checks numbers refuses one below the highest it has taken,
    and takes the same order under a higher number without a second change.

    Attributes:
        engine: The engine's address.
        order_id: The order's id.
        number: The fencing number.
        wanted: What is ordered.
    """

    engine: str
    order_id: str
    number: int
    wanted: orderlog.Wanted
