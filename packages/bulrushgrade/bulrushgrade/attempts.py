"""What follows an attempt at an endpoint: the answer, another try, an end.

The decision keeps three promises: what may not be repeated runs at most once;
a refusal that says that nothing ran is true; and a caller never gets part of
one run joined to part of another, unless the stream may be resumed.
"""

import enum

import attrs

from bulrushgrade import routing


class Outcome(enum.Enum):
    """How an attempt ended.

    UNREACHED means that no byte of the request was written. TURNED_AWAY and
    MISDIRECTED mean that the endpoint itself says that it did not run it.
    UNREAD means that an engine which was to read the prompt for another gave
    no answer that can be used; reading is not a run. LOST means that the
    request was written and no whole answer came.
    """

    UNREACHED = "unreached"
    TURNED_AWAY = "turned_away"
    MISDIRECTED = "misdirected"
    UNREAD = "unread"
    FAILED = "failed"
    LOST = "lost"
    BROKEN_STREAM = "broken_stream"


NOT_RUN = frozenset(
    {
        Outcome.UNREACHED,
        Outcome.TURNED_AWAY,
        Outcome.MISDIRECTED,
        Outcome.UNREAD,
    }
)


class NextStep(enum.Enum):
    """What to do next.

    RELAY passes the endpoint's own failure on. REFUSE says that nothing ran.
    FAIL promises nothing. CUT ends an answer that has begun as incomplete.
    """

    RETRY = "retry"
    RELAY = "relay"
    REFUSE = "refuse"
    FAIL = "fail"
    CUT = "cut"


MAX_UNREACHED = 4
"""Endpoints that may prove unreachable for one request. More than that in a
row means that this host is cut off, and the caller had better go elsewhere."""


@attrs.define(kw_only=True)
class AttemptHistory:
    """What has happened to one request so far.

    Attributes:
        arrivals: Attempts that reached an endpoint.
        runs: Attempts that may have run.
        unreached: Attempts that reached nobody.
        begun: Whether part of an answer has gone to the caller.
        last: How the last attempt ended.
    """

    arrivals: int = 0
    runs: int = 0
    unreached: int = 0
    begun: bool = False
    last: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a refusal that says not run could be false."""
        return self.runs > 0

    def note(self, outcome: Outcome) -> None:
        """Counts an attempt that has ended."""
        self.last = outcome
        if outcome is Outcome.UNREACHED:
            self.unreached += 1
            return
        self.arrivals += 1
        if outcome not in NOT_RUN:
            self.runs += 1


def may_retry(route: routing.Route, history: AttemptHistory) -> bool:
    """Returns whether the rules of the route allow another attempt.

    The retry budget is asked apart from this, and only for attempts that
    follow one which arrived.
    """
    if history.unreached >= MAX_UNREACHED:
        return False
    if history.may_have_run and not route.repeatable:
        return False
    return history.arrivals < max(1, route.max_attempts)


def final_step(history: AttemptHistory) -> NextStep:
    """Returns how a request ends that is not tried again."""
    if history.begun:
        return NextStep.CUT
    if history.last is Outcome.FAILED:
        return NextStep.RELAY
    if history.may_have_run:
        return NextStep.FAIL
    return NextStep.REFUSE
