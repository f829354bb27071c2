"""Messages between the holder of a lease and one of its engines."""

import enum

import attrs

from bulrushgrade import orderlog


class Reply(enum.Enum):
    """The result of writing an order to an engine."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    STALE = "stale"
    LOST = "lost"


@attrs.frozen(kw_only=True)
class EngineReport:
    """An engine's report of its own state.

    Attributes:
        state: ``serving``, ``draining``, ``changing`` or ``down``.
        current: The engine's current role and model.
        order_id: The last order that it accepted, or an empty string.
        number: The fencing token of that order, or -1.
    """

    state: str
    current: orderlog.Wanted
    order_id: str
    number: int = -1


@attrs.frozen(kw_only=True)
class Order:
    """An order to be written to an engine.

    An engine that checks fencing tokens rejects one below the highest that it
    has accepted. It accepts the same order with a higher token without
    changing a second time.

    Attributes:
        engine: The engine's address.
        order_id: The order's id.
        number: The fencing token.
        wanted: The ordered role and model.
    """

    engine: str
    order_id: str
    number: int
    wanted: orderlog.Wanted
