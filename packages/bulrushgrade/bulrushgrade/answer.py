"""Assembles one answer from the events of one or more attempts.

A stream may break and continue at another engine, an engine may repeat an
event, and an event of an abandoned attempt may arrive late. The caller must get
every token exactly once and in order, and must be able to tell a complete
answer from a truncated one.
"""

import enum

import attrs


class EventAction(enum.Enum):
    """What to do with an event of a stream."""

    DELIVER = "deliver"
    DROP = "drop"
    BROKEN = "broken"


@attrs.define(kw_only=True)
class Answer:
    """The state of an answer that is streamed to its caller.

    Attributes:
        tokens: Number of delivered tokens.
        finished: Whether the event with the finish reason was received.
        ended: Whether the end marker was received after that.
        duplicates: Number of events dropped because their token was already
            delivered.
        foreign_events: Number of events dropped because they belong to another
            attempt.
    """

    tokens: int = 0
    finished: bool = False
    ended: bool = False
    duplicates: int = 0
    foreign_events: int = 0
    _attempt_id: str = ""

    @property
    def whole(self) -> bool:
        """Whether the caller has received the complete answer."""
        return self.finished and self.ended

    def begin(self, attempt_id: str) -> int:
        """Starts an attempt; events of other attempts are dropped from now on.

        Args:
            attempt_id: Id that its events carry.

        Returns:
            The number of tokens that the attempt has to skip.
        """
        self._attempt_id = attempt_id
        self.finished = False
        self.ended = False
        return self.tokens

    def take(
        self, attempt_id: str, index: int, *, has_token: bool, finish: bool
    ) -> EventAction:
        """Decides what to do with an event.

        Args:
            attempt_id: Id of the attempt that the event carries.
            index: Index of its token, from 0.
            has_token: Whether it carries a token.
            finish: Whether it carries the finish reason.
        """
        # An event with another attempt's id belongs to an abandoned attempt or,
        # if a connection was reused too early, to the answer of another
        # request. It must not reach this caller.
        if attempt_id != self._attempt_id:
            self.foreign_events += 1
            return EventAction.DROP
        if self.finished:
            self.duplicates += 1
            return EventAction.DROP
        if has_token and index < self.tokens:
            self.duplicates += 1
            return EventAction.DROP
        # A gap in the indexes means that an event was lost. The attempt is
        # abandoned and the answer resumes after the last delivered token, as
        # continuing would leave a gap in the answer.
        if has_token and index > self.tokens:
            return EventAction.BROKEN
        self.tokens += int(has_token)
        self.finished = finish
        return EventAction.DELIVER

    def end(self) -> bool:
        """Notes the end marker; returns whether the answer is complete.

        A marker before the finish reason belongs to a truncated answer and does
        not complete it.
        """
        self.ended = self.finished
        return self.whole
