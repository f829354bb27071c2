"""Refusals: the error answers that callers get.

A refusal says whether the request ran. It says ``not_run`` only if no byte of
the request reached an endpoint, or if the endpoint reported that it did not
start the request; in every other doubtful case it says ``unknown``.
"""

import enum
import math

import attrs
import msgspec

from bulrushgrade import work

# Retry delay after a missed deadline, so that the load that caused it can pass.
DEADLINE_RETRY_AFTER_S = 1.0
_RATE_LIMIT_CODES = frozenset(
    {
        work.RefusalCode.OVERLOADED,
        work.RefusalCode.QUEUE_FULL,
    }
)


class RunStatus(enum.Enum):
    """Whether a request ran at an endpoint."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Refusal:
    """An error answer to a caller.

    Attributes:
        status: The HTTP status.
        code: A stable error code for programs.
        message: A description for people.
        ran: Whether the request ran.
        retry_after_s: After how many seconds to retry, or None if a retry
            does not help.
    """

    status: int
    code: str
    message: str
    ran: RunStatus = RunStatus.NOT_RUN
    retry_after_s: float | None = None


def serialize_refusal(refusal: Refusal) -> bytes:
    """Returns the JSON body of a refusal."""
    return msgspec.json.encode({"error": describe(refusal)})


def describe(refusal: Refusal) -> dict[str, str | float | None]:
    """Returns the fields of a refusal as they are sent to the caller."""
    return {
        "code": refusal.code,
        "message": refusal.message,
        "ran": refusal.ran.value,
        "retry_after_s": refusal.retry_after_s,
    }


def format_retry_after(refusal: Refusal) -> str | None:
    """Returns the value of ``Retry-After``, in whole seconds rounded up."""
    if refusal.retry_after_s is None:
        return None
    return str(max(1, math.ceil(refusal.retry_after_s)))


def deadline_exceeded(ran: RunStatus) -> Refusal:
    """Returns the refusal of a request whose deadline has passed."""
    return Refusal(
        status=504,
        code="deadline",
        message="the answer could not be completed before the deadline",
        ran=ran,
        retry_after_s=DEADLINE_RETRY_AFTER_S,
    )


def outcome_unknown() -> Refusal:
    """Returns the refusal of a non-repeatable request that may have run."""
    return Refusal(
        status=502,
        code="outcome_unknown",
        message="the answer was lost; the request may have run",
        ran=RunStatus.UNKNOWN,
    )


def bad_request(message: str, *, status: int = 400, code: str = "bad_request"):
    """Returns the refusal of an invalid request."""
    return Refusal(status=status, code=code, message=message)


def not_ready(reason: str, retry_after_s: float) -> Refusal:
    """Returns the refusal of a daemon that is not ready."""
    return Refusal(
        status=503,
        code="not_ready",
        message=f"this host can't serve yet: {reason}",
        retry_after_s=retry_after_s,
    )


def from_decision(refused: work.Refused, ran: RunStatus) -> Refusal:
    """Returns the refusal for a scheduler's decision.

    Args:
        refused: The decision.
        ran: Whether earlier attempts ran.
    """
    status = 404 if refused.code is work.RefusalCode.UNKNOWN_SERVICE else 503
    if refused.code in _RATE_LIMIT_CODES:
        status = 429
    return Refusal(
        status=status,
        code=str(refused.code),
        message=refused.reason,
        ran=ran,
        retry_after_s=refused.retry_after_s,
    )
