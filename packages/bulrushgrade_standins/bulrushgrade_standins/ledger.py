"""Records what an endpoint ran, for tests that check the callers' answers.

An attempt is recorded before any work on it is done, so an attempt that is
missing here has certainly not run.
"""

import attrs


@attrs.define(kw_only=True)
class Run:
    """One attempt that the endpoint started.

    Attributes:
        attempt: The ``X-Attempt-Id`` header.
        request: The ``X-Request-Id`` header, empty if there was none.
        key: The ``Idempotency-Key`` header, empty if there was none.
        method: The HTTP method.
        path: The path.
        at_s: Start time, in seconds of the machine's monotonic clock.
        ended: ``""`` while it runs, then ``done``, ``cut`` or ``cancelled``.
    """

    attempt: str
    request: str
    key: str
    method: str
    path: str
    at_s: float
    ended: str = ""


@attrs.define(kw_only=True)
class OrderEntry:
    """One order that an engine accepted.

    Attributes:
        order_id: The id of the order.
        term: The fencing token of the order.
        wanted: The configuration that the order asked for.
        from_s: Time of acceptance, in seconds of the monotonic clock.
        until_s: End of the change, or None while it runs.
        outcome: ``""`` while it runs, then ``done`` or ``crashed``.
    """

    order_id: str
    term: int
    wanted: dict
    from_s: float
    until_s: float | None = None
    outcome: str = ""


@attrs.define(kw_only=True)
class Ledger:
    """The record of one endpoint.

    Attributes:
        runs: The attempts in order of their start.
        orders: The orders in order of acceptance.
        refused: How many requests were rejected as not started.
    """

    runs: list[Run] = attrs.field(factory=list)
    orders: list[OrderEntry] = attrs.field(factory=list)
    refused: int = 0
