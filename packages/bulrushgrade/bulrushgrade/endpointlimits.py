"""The request rates that endpoints state they accept from all hosts together.

An endpoint under pressure states a limit in its answers for as long as it
applies; an answer without one ends it. Hosts exchange what they observe, so
observations arrive late, repeatedly and in any order. Of two observations the
later one holds.
"""

from collections.abc import Iterable
import enum

import attrs

Incarnation = tuple[str, int]
"""An endpoint's id and the time of its start. A restarted endpoint knows
nothing of the limit that it stated before."""

LIMIT_TTL_S = 60.0
"""Time after which a limit that no answer has confirmed expires."""

END_TTL_S = 2 * LIMIT_TTL_S
"""Time for which the end of a limit is remembered: longer than any host keeps
a limit, so that no host takes an ended limit over from another one."""


class AnswerKind(enum.Enum):
    """What was asked of an endpoint.

    RUN and PREFILL are callers' requests, to be run or only prefilled. CONTROL
    are the system's own calls.
    """

    RUN = "run"
    PREFILL = "prefill"
    CONTROL = "control"


@attrs.frozen(kw_only=True)
class Limit:
    """An observation of an endpoint's limit.

    Attributes:
        per_s: Requests per second that it accepts from all hosts together,
            None if it states no limit.
        as_of: The time for which this holds.
        kind: The kind of the answers that state it.
    """

    per_s: float | None
    as_of: float
    kind: AnswerKind = AnswerKind.RUN


@attrs.frozen(kw_only=True)
class LimitChange:
    """A change of what is known of an endpoint.

    Attributes:
        endpoint: The endpoint.
        before: The limit before, None if there was none.
        limit: The limit now, None if there is none.
    """

    endpoint: Incarnation
    before: float | None
    limit: float | None


class EndpointLimits:
    """The newest observation of each endpoint's limit."""

    def __init__(self):
        self._known: dict[Incarnation, Limit] = {}

    def __len__(self) -> int:
        """Returns the number of endpoints that state a limit."""
        return sum(limit.per_s is not None for limit in self._known.values())

    def items(self) -> Iterable[tuple[Incarnation, Limit]]:
        """Returns all observations that are remembered, ends included."""
        return self._known.items()

    def limited(self) -> list[Incarnation]:
        """Returns the endpoints that state a limit."""
        return [
            endpoint
            for endpoint, limit in self._known.items()
            if limit.per_s is not None
        ]

    def find(self, endpoint: Incarnation) -> Limit | None:
        """Returns the newest observation of an endpoint, or None."""
        return self._known.get(endpoint)

    def per_s(self, endpoint: Incarnation) -> float | None:
        """Returns an endpoint's limit, None if it states none."""
        known = self._known.get(endpoint)
        return None if known is None else known.per_s

    def observe_answer(
        self,
        endpoint: Incarnation,
        per_s: float | None,
        *,
        kind: AnswerKind,
        sent_at: float,
        now: float,
    ) -> LimitChange | None:
        """Takes in an answer; returns the change, or None if there is none.

        An answer without a limit says nothing about the time after its request
        was sent: the endpoint may have begun it before it stated a limit. And
        it only ends a limit that was stated in answers of the same kind.

        Args:
            endpoint: The endpoint that answered.
            per_s: The limit that the answer states, or None.
            kind: What was asked of the endpoint.
            sent_at: When its request was sent.
            now: The current time.
        """
        if per_s is not None:
            limit = Limit(per_s=per_s, as_of=now, kind=kind)
            return self.merge(endpoint, limit, now)
        known = self._known.get(endpoint)
        if known is None or known.per_s is None or known.kind is not kind:
            return None
        return self.merge(
            endpoint, Limit(per_s=None, as_of=sent_at, kind=kind), now
        )

    def merge(
        self, endpoint: Incarnation, limit: Limit, now: float
    ) -> LimitChange | None:
        """Takes in an observation of this or another host.

        Args:
            endpoint: The endpoint.
            limit: The observation.
            now: The current time.

        Returns:
            The change of the limit, None if it stays the same.
        """
        known = self._known.get(endpoint)
        if known is not None and known.as_of >= limit.as_of:
            return None
        if _has_expired(limit, now):
            return None
        if known is None and limit.per_s is None:
            # Remembered, so that a limit from before is not taken over.
            self._known[endpoint] = limit
            return None
        self._known[endpoint] = limit
        before = None if known is None else known.per_s
        if before == limit.per_s:
            return None
        return LimitChange(endpoint=endpoint, before=before, limit=limit.per_s)

    def expire(self, now: float) -> list[LimitChange]:
        """Drops old observations; returns the limits that ended thereby."""
        expired = [
            (endpoint, limit)
            for endpoint, limit in self._known.items()
            if _has_expired(limit, now)
        ]
        for endpoint, _ in expired:
            del self._known[endpoint]
        return [
            LimitChange(endpoint=endpoint, before=limit.per_s, limit=None)
            for endpoint, limit in expired
            if limit.per_s is not None
        ]


def _has_expired(limit: Limit, now: float) -> bool:
    ttl_s = END_TTL_S if limit.per_s is None else LIMIT_TTL_S
    return now - limit.as_of >= ttl_s
