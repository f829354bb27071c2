"""What a caller is told when its request is not answered.

A refusal says whether anything ran. ``not_run`` is said only where no byte of
the request reached an endpoint, or the endpoint itself said that it did not
start; every doubt is ``unknown``.
"""

import enum
import math

import attrs
import msgspec

from bulrushgrade import work

# After a deadline was missed: the load that caused it has to pass first.
DEADLINE_RETRY_AFTER_S = 1.0
_RATE_LIMIT_CODES = frozenset(
    {
        work.RefusalCode.OVERLOADED,
        work.RefusalCode.QUEUE_FULL,
    }
)


class RunStatus(enum.Enum):
    """Whether the work of a request was done."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Refusal:
    """An answer that is not the one asked for.

    Attributes:
        status: The HTTP status.
        code: A stable name for programs.
        message: A sentence for a person.
        ran: Whether anything ran.
        retry_after_s: When to come back, in seconds, or None where coming
            back does not help.
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
    """Returns the fields of a refusal that a caller sees."""
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
        message="the answer could not be had in time",
        ran=ran,
        retry_after_s=DEADLINE_RETRY_AFTER_S,
    )


def outcome_unknown() -> Refusal:
    """Returns the refusal of what must not be repeated and may have run."""
    return Refusal(
        status=502,
        code="outcome_unknown",
        message="the answer was lost; the request may have run",
        ran=RunStatus.UNKNOWN,
    )


def bad_request(message: str, *, status: int = 400, code: str = "bad_request"):
    """Returns the refusal of a request that is wrong in itself."""
    return Refusal(status=status, code=code, message=message)


def not_ready(reason: str, retry_after_s: float) -> Refusal:
    """Returns the refusal of a daemon that can't decide yet."""
    return Refusal(
        status=503,
        code="not_ready",
        message=f"this host can't serve yet: {reason}",
        retry_after_s=retry_after_s,
    )


def from_decision(refused: work.Refused, ran: RunStatus) -> Refusal:
    """Returns the refusal that tells a caller of a decision.

    Args:
        refused: The decision.
        ran: What is known of attempts before it.
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
