"""Decides what follows an attempt: a retry or the end of the request.

Three rules hold: a request that is not repeatable runs at most once; a refusal
that says that nothing ran is true; and a caller never receives parts of two
different runs, unless the stream is resumable.
"""

import enum

import attrs

from bulrushgrade import routing


class Outcome(enum.Enum):
    """How an attempt ended.

    UNREACHED means that no byte of the request was written. NO_LINK means the
    same, because a link failed that another path may avoid. WITHHELD means the
    same, because the endpoint has no room or wants no requests. TURNED_AWAY and
    MISDIRECTED mean that the endpoint reports that it did not run the request.
    UNREAD means that an engine that was to prefill the prompt for another gave
    no usable answer; a prefill is not a run. UNTAKEN means that the prompt was
    prefilled and then no engine was left to decode it; it is not prefilled
    again without a retry. LOST means that the request was
    written and no complete answer arrived.
    """

    UNREACHED = "unreached"
    NO_LINK = "no_link"
    WITHHELD = "withheld"
    TURNED_AWAY = "turned_away"
    MISDIRECTED = "misdirected"
    UNREAD = "unread"
    UNTAKEN = "untaken"
    FAILED = "failed"
    LOST = "lost"
    BROKEN_STREAM = "broken_stream"


NOT_RUN = frozenset(
    {
        Outcome.UNREACHED,
        Outcome.NO_LINK,
        Outcome.WITHHELD,
        Outcome.TURNED_AWAY,
        Outcome.MISDIRECTED,
        Outcome.UNREAD,
        Outcome.UNTAKEN,
    }
)


NOT_SENT = frozenset({Outcome.UNREACHED, Outcome.NO_LINK, Outcome.WITHHELD})


class NextStep(enum.Enum):
    """What to do with the request.

    RELAY passes the endpoint's own failure on. REFUSE says that nothing ran.
    FAIL makes no statement about that. CUT ends an answer in progress as
    incomplete.
    """

    RETRY = "retry"
    RELAY = "relay"
    REFUSE = "refuse"
    FAIL = "fail"
    CUT = "cut"


MAX_UNREACHED = 4
"""Largest number of attempts of one request that reach no endpoint, on any
path. After that, the caller should use another host."""


@attrs.define(kw_only=True)
class AttemptHistory:
    """The attempts of one request so far.

    Attributes:
        arrivals: Number of attempts that reached an endpoint.
        runs: Number of attempts that may have run.
        unreached: Number of attempts that reached no endpoint.
        begun: Whether a part of an answer was sent to the caller.
        last: Outcome of the last attempt.
    """

    arrivals: int = 0
    runs: int = 0
    unreached: int = 0
    begun: bool = False
    last: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have run, so that REFUSE could be false."""
        return self.runs > 0

    def note(self, outcome: Outcome) -> None:
        """Records the outcome of an attempt."""
        self.last = outcome
        if outcome in NOT_SENT:
            self.unreached += 1
            return
        self.arrivals += 1
        if outcome not in NOT_RUN:
            self.runs += 1


def may_retry(route: routing.Route, history: AttemptHistory) -> bool:
    """Returns whether the route allows another attempt.

    The retry budget is checked separately, and only for attempts that follow
    one that reached an endpoint.
    """
    if history.unreached >= MAX_UNREACHED:
        return False
    if history.may_have_run and not route.repeatable:
        return False
    return history.arrivals < max(1, route.max_attempts)


def final_step(history: AttemptHistory) -> NextStep:
    """Returns how to end a request that is not retried."""
    if history.begun:
        return NextStep.CUT
    if history.last is Outcome.FAILED:
        return NextStep.RELAY
    if history.may_have_run:
        return NextStep.FAIL
    return NextStep.REFUSE
