"""Tells refused callers when to return, so that they don't return together.

Callers who are refused while an endpoint accepts nothing would all come back at
the same moment and be refused again, all but a few. So each is given a time of
its own, at the rate at which the endpoint will accept requests. More urgent
callers get their times as if the less urgent ones didn't exist.
"""

from bulrushgrade import endpointlimits


class CallerReturns:
    """The times that callers were given, by endpoint and urgency."""

    def __init__(self):
        # Up to this time, callers of an urgency were told to return.
        self._booked: dict[endpointlimits.Incarnation, dict[int, float]] = {}

    def find_next(
        self,
        endpoint: endpointlimits.Incarnation,
        *,
        urgency: int,
        open_at: float,
        per_s: float,
    ) -> float:
        """Returns the next time at which a caller may return.

        Args:
            endpoint: The endpoint.
            urgency: The urgency of the request; 0 goes first.
            open_at: When the endpoint accepts requests again.
            per_s: Requests per second that it then accepts.
        """
        booked = self._booked.get(endpoint, {})
        ahead = [at for one, at in booked.items() if one <= urgency]
        return max([open_at, *ahead]) + 1.0 / per_s

    def book(
        self, endpoint: endpointlimits.Incarnation, *, urgency: int, at: float
    ) -> None:
        """Records that a caller was told to return at a time."""
        self._booked.setdefault(endpoint, {})[urgency] = at

    def forget(self, now: float) -> None:
        """Drops endpoints all of whose callers should have returned."""
        for endpoint, booked in list(self._booked.items()):
            if max(booked.values()) <= now:
                del self._booked[endpoint]
