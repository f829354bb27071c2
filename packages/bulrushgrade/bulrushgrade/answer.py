"""Puts one answer together from the events of one or more attempts.

A stream may break and go on at another engine, an engine may repeat an event,
and a late event of an abandoned attempt may still arrive. The caller must get
every token once and in order, and must be able to tell a whole answer from a
cut one.
"""

import enum

import attrs


class EventAction(enum.Enum):
    """What to do with one event of a stream."""

    DELIVER = "deliver"
    DROP = "drop"
    BROKEN = "broken"


@attrs.define(kw_only=True)
class Answer:
    """The state of an answer on its way to its caller.

    Attributes:
        tokens: How many tokens have been delivered.
        finished: Whether the event with the reason for finishing was seen.
        ended: Whether the end marker was seen after that.
        duplicates: Events dropped because their token was delivered before.
        foreign_events: Events dropped because they belong to another attempt.
    """

    tokens: int = 0
    finished: bool = False
    ended: bool = False
    duplicates: int = 0
    foreign_events: int = 0
    _attempt_id: str = ""

    @property
    def whole(self) -> bool:
        """Whether the caller has the whole answer."""
        return self.finished and self.ended

    def begin(self, attempt_id: str) -> int:
        """Makes an attempt the only one whose events count.

        Args:
            attempt_id: The id that its events carry.

        Returns:
            How many tokens the attempt is to leave out.
        """
        self._attempt_id = attempt_id
        self.finished = False
        self.ended = False
        return self.tokens

    def take(
        self, attempt_id: str, index: int, *, has_token: bool, finish: bool
    ) -> EventAction:
        """Judges one event.

        Args:
            attempt_id: The attempt that the event says it belongs to.
            index: The number of its token, counted from 0.
            has_token: Whether it carries a token.
            finish: Whether it carries the reason for finishing.
        """
        # Failure guarded against: answers crossed between two requests, as
        # after a connection was given to a second request too early. It shows
        # as an event with another attempt's id, which only its own caller
        # may see.
        if attempt_id != self._attempt_id:
            self.foreign_events += 1
            return EventAction.DROP
        if self.finished:
            self.duplicates += 1
            return EventAction.DROP
        if has_token and index < self.tokens:
            self.duplicates += 1
            return EventAction.DROP
        # A number that jumps means that an event was lost on the way. Going
        # on would leave a hole in the answer; the attempt is given up and the
        # answer resumed from the last token delivered.
        if has_token and index > self.tokens:
            return EventAction.BROKEN
        self.tokens += int(has_token)
        self.finished = finish
        return EventAction.DELIVER

    def end(self) -> bool:
        """Notes the end marker; returns whether the answer is whole.

        A marker that comes before the reason for finishing belongs to a cut
        answer and does not make it whole.
        """
        self.ended = self.finished
        return self.whole
