"""How long engines take to read prompts, learned from their own answers.

Two figures are kept apart. The latency is the time of a reading that does not
depend on its length and does not keep the engine from the next one: opening a
connection, the way there and back, the steps up to the first event. The speed
is what reading takes beyond that. Were the whole time put down to the prompt's
length, an engine that reads 140 tokens in a millisecond would be believed to
read 35, as prompts of 2,000 tokens take 60 ms more; queues would look four
times as long as they are, prompts be refused and roles changed for nothing.
"""

import enum

START_TOKENS_PER_S = 40_000.0
"""Prompt tokens that an engine which only reads takes in a second, until its
own answers tell; those of three deployments take 36,700 to 140,000."""

START_TOKENS = 4_000.0
"""Weight of that figure in tokens read: one long prompt replaces half of it."""

START_LATENCY_S = 0.03
"""Until answers tell; between 20 and 70 ms in three deployments."""

KEPT = 0.95
"""What is kept of the weight of earlier readings at each new one: the speed is
that of the last twenty or so."""

CONTENDED_TIMES = 2.0
"""A reading counts as at most this many times as slow as was expected. What
takes longer has met work that nobody here knew of."""

SHORT_TOKENS = 1000
"""Readings up to this length tell the latency: an error of a third in the
speed changes it by some milliseconds."""

FALL, RISE = 0.3, 0.03
"""Weights of a latency below and above the believed one. Work that nobody
knew of only ever adds to it, so the belief follows the lower edge."""

CALM_SHARE = 0.25
"""Readings teach where the expected wait was at most this part of the rest;
otherwise an error in the wait would be taken for the engine's."""


class Way(enum.Enum):
    """How an engine comes to have a prompt read.

    APART reads it for another engine, IN_PLACE reads it where the answer is
    generated, TAKEN_OVER fetches it from an engine that has read it.
    """

    APART = "apart"
    IN_PLACE = "in_place"
    TAKEN_OVER = "taken_over"


class Speed:
    """Tokens read in a second: of one engine, or of all of a service."""

    def __init__(self):
        self._tokens = START_TOKENS
        self._seconds = START_TOKENS / START_TOKENS_PER_S
        self._readings = 0

    @property
    def readings(self) -> int:
        """How many readings it was learned from."""
        return self._readings

    @property
    def tokens_per_s(self) -> float:
        """Tokens in a second."""
        return self._tokens / self._seconds

    def note(self, tokens: float, seconds: float) -> None:
        """Takes in a reading of its own time, without wait and latency."""
        longest_s = CONTENDED_TIMES * tokens / self.tokens_per_s
        self._tokens = KEPT * self._tokens + tokens
        self._seconds = KEPT * self._seconds + min(seconds, longest_s)
        self._readings += 1


class ReadTimes:
    """What the engines of one service have in common."""

    def __init__(self):
        self._speed = Speed()
        self._latency_s = dict.fromkeys(Way, START_LATENCY_S)

    @property
    def speed(self) -> Speed:
        """The speed of all engines together, as if they only read."""
        return self._speed

    def latency_s(self, way: Way) -> float:
        """Returns the latency of a reading."""
        return self._latency_s[way]

    def note_latency(self, way: Way, seen_s: float) -> None:
        """Takes in the latency of a short reading."""
        believed_s = self._latency_s[way]
        weight = FALL if seen_s < believed_s else RISE
        self._latency_s[way] += weight * (max(seen_s, 0.0) - believed_s)
