"""What an endpoint ran, kept so that a test can check what callers were told.

An attempt is entered before any work on it is done, so that whatever is
missing here has certainly not run.
"""

import attrs


@attrs.define(kw_only=True)
class Run:
    """One attempt that the endpoint started.

    Attributes:
        attempt: The ``X-Attempt-Id`` header.
        request: The ``X-Request-Id`` header, empty where there was none.
        key: The ``Idempotency-Key`` header, empty where there was none.
        method: The HTTP method.
        path: The path.
        at_s: When it started, in seconds of the machine's monotonic clock.
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
    """One order that an engine held.

    Attributes:
        order_id: The order's id.
        term: Its fencing number.
        wanted: The state that it asked for.
        from_s: When the engine took it, in seconds of the monotonic clock.
        until_s: When its change ended, or None while it runs.
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
    """All that one endpoint has to show.

    Attributes:
        runs: The attempts in order of their start.
        orders: The orders in the order in which the engine took them.
        refused: How many requests were refused as not started.
    """

    runs: list[Run] = attrs.field(factory=list)
    orders: list[OrderEntry] = attrs.field(factory=list)
    refused: int = 0
