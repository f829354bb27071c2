"""Calls that one host at a time makes for the operator."""

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
    """What the operator's side says of a call."""

    ACCEPTED = "taken"
    UNAVAILABLE = "none to be had"
    REJECTED = "rejected"


@attrs.frozen(kw_only=True)
class OperatorCalls:
    """Functions that make the calls.

    Attributes:
        report_usage: Reports what began in a window; None where it is not
            wanted.
        order_capacity: Orders engines; None where it is not wanted.
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
