"""Calls to the operator's API, made by one host at a time."""

from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs
from returns.result import Result

from bulrushgrade import capacityplan
from bulrushgrade import usagewindows
from bulrushgrade_daemon import fencedactions
from bulrushgrade_daemon import outbound


class CallOutcome(enum.Enum):
    """The operator's answer to a call."""

    ACCEPTED = "taken"
    UNAVAILABLE = "none to be had"
    REJECTED = "rejected"


@attrs.frozen(kw_only=True)
class OperatorCalls:
    """Functions that make the calls.

    Attributes:
        report_usage: Reports the requests that started in a window; None if
            usage is not reported.
        order_capacity: Orders engines; None if engines are not ordered.
    """

    report_usage: (
        Callable[
            [usagewindows.UsageRecord, fencedactions.Permit],
            Awaitable[Result[CallOutcome, outbound.CallFailed]],
        ]
        | None
    )
    order_capacity: (
        Callable[
            [capacityplan.CapacityRecord, fencedactions.Permit],
            Awaitable[Result[CallOutcome, outbound.CallFailed]],
        ]
        | None
    )
