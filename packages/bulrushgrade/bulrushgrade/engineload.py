"""What one daemon believes of an engine: its queue, its speed, its cache.

A daemon sees its own requests only. Three signs tell it how long new work
would wait: the work it has sent there that has not been read, how much longer
than expected recent answers took, and how long the oldest unanswered request
is overdue. The last one grows by itself, so that an engine that went silent is
avoided before anything times out.
"""

import math

import attrs

from bulrushgrade import directory
from bulrushgrade import enginecache
from bulrushgrade import linearfit
from bulrushgrade import pausemodel
from bulrushgrade import peerloads
from bulrushgrade import prefillqueue
from bulrushgrade import prefilltimes
from bulrushgrade import prompt as prompt_module
from bulrushgrade import streamload

DECODE_SPEED = 0.5
"""An engine that generates reads at half that speed, between tokens."""

DELAY_DECAY_S = 1.0
"""In which an observed delay loses two thirds of its weight. Queues of a few
requests empty in about a second."""

DELAY_WEIGHT = 0.5
"""Of a new observation of the delay: two or three tell a queue from a single
long prompt before it."""


@attrs.define(kw_only=True, eq=False)
class PendingPrefill:
    """A request of this daemon that an engine is to read or to take over.

    Attributes:
        expected_s: How long it should keep the engine busy.
        sent_at: When it was sent.
        tokens: How many tokens it should have to read.
        cached_tokens: Those before them, which it should have.
        wait_s: How long it should wait before.
        latency_s: From the end of that work to the beginning of the answer.
        urgency: 0 is read first.
        fetch_s: The part of the work in which cached parts are fetched.
        mode: Whether and where it is read.
        parts: Shared parts that the engine will then have.
    """

    expected_s: float
    sent_at: float
    tokens: int
    cached_tokens: int = 0
    wait_s: float = 0.0
    latency_s: float = 0.0
    urgency: int = 0
    fetch_s: float = 0.0
    mode: prefilltimes.PrefillMode = prefilltimes.PrefillMode.IN_PLACE
    parts: tuple[prompt_module.PromptPart, ...] = ()

    @property
    def expected_total_s(self) -> float:
        """How long it should take in all, from its sending."""
        return self.wait_s + self.expected_s + self.latency_s

    @property
    def queue_entry(self) -> prefillqueue.Entry:
        """What waits there for as long as it is not read."""
        return prefillqueue.Entry(
            seconds=self.expected_s,
            latency_s=self.latency_s,
            urgency=self.urgency,
            added_at=self.sent_at,
        )

    @property
    def is_uncontended(self) -> bool:
        """Whether it met hardly any other work, as far as is known."""
        alone_s = self.expected_s + self.latency_s
        return self.wait_s <= prefilltimes.UNCONTENDED_WAIT_FRACTION * alone_s


class EngineLoad:
    """One incarnation of an engine."""

    def __init__(
        self,
        *,
        memory_tokens: int,
        times: prefilltimes.PrefillTimes | None = None,
    ):
        """Makes the load of an engine that nothing is known of.

        Args:
            memory_tokens: Tokens that fit its memory.
            times: What is known of all engines of its service.
        """
        self._cache = enginecache.EngineCache(memory_tokens=memory_tokens)
        self._times = times or prefilltimes.PrefillTimes()
        self._prefill_factor = prefilltimes.new_factor()
        self._queue = prefillqueue.PrefillQueue()
        self._streams = streamload.StreamLoad()
        self._pause_factor = pausemodel.new_factor()
        self._prefills: dict[PendingPrefill, None] = {}
        self._delay_s = 0.0
        self._delay_at = 0.0

    @property
    def cache(self) -> enginecache.EngineCache:
        """What it should have in its prefix cache."""
        return self._cache

    @property
    def streams(self) -> streamload.StreamLoad:
        """The streams that this daemon has running there."""
        return self._streams

    @property
    def pause_factor(self) -> linearfit.Factor:
        """How much longer its streams' pauses are than elsewhere."""
        return self._pause_factor

    @property
    def is_idle(self) -> bool:
        """Whether this daemon has nothing there."""
        return not self._prefills and not self._streams.running

    def share(self, now: float) -> peerloads.EngineShare:
        """Returns what this daemon has there, for its peers."""
        return peerloads.EngineShare(
            queued_s=self._queue.wait_by_urgency(now),
            streams=self._streams.running,
            tokens=self._streams.tokens,
        )

    @property
    def pending_prefills(self) -> int:
        """Requests of this daemon that have not begun to answer."""
        return len(self._prefills)

    def prefill_s(
        self, tokens: int, cached_tokens: int, stage: directory.Stage | None
    ) -> float:
        """Returns how long it reads in a role.

        Args:
            tokens: Tokens to be read.
            cached_tokens: Those before them, which it has.
            stage: Its role.
        """
        usual_s = self._times.prefill_s(tokens, cached_tokens)
        return self._prefill_factor.value * usual_s / _prefill_speed(stage)

    def wait_behind_s(self, now: float, queued_s: float) -> float:
        """Returns how long new work would wait, where the queue is known.

        Args:
            now: The present time in seconds.
            queued_s: What is left to be read there, of all daemons.
        """
        return max(queued_s, self._overdue_s(now))

    def wait_s(
        self, now: float, *, urgency: int, peers_s: float = 0.0
    ) -> float:
        """Returns how long new work would wait before it is read.

        Args:
            now: The present time in seconds.
            urgency: Of the new work.
            peers_s: Seconds of reading of that urgency or more that other
                daemons have there.
        """
        unexplained_s = self._delay_s * math.exp(
            -(now - self._delay_at) / DELAY_DECAY_S
        )
        queued_s = self._queue.wait_s(now, urgency=urgency) + peers_s
        return max(queued_s + unexplained_s, self._overdue_s(now))

    def begin(self, prefill: PendingPrefill) -> None:
        """Notes a request that was sent there."""
        self._prefills[prefill] = None
        self._queue.add(prefill, prefill.queue_entry)
        self._cache.expect(prefill.parts, prefill.sent_at)

    def answered(
        self, prefill: PendingPrefill, stage: directory.Stage | None, now: float
    ) -> None:
        """Notes that a request has begun to answer."""
        if prefill not in self._prefills:
            return
        del self._prefills[prefill]
        self._queue.remove(prefill, now)
        self._cache.keep(prefill.parts)
        took_s = now - prefill.sent_at
        self._observe_delay(max(0.0, took_s - prefill.expected_total_s), now)
        # Work that nobody here knew of makes a reading longer, never shorter:
        # one that was faster than expected teaches even if it had to wait.
        alone_s = prefill.expected_s + prefill.latency_s
        if prefill.is_uncontended or took_s < alone_s:
            self._learn(prefill, took_s, stage)

    def dropped(self, prefill: PendingPrefill, now: float) -> None:
        """Notes that a request ended without an answer."""
        if self._prefills.pop(prefill, self) is not self:
            self._queue.remove(prefill, now)
            self._cache.cancel(prefill.parts)

    def _overdue_s(self, now: float) -> float:
        if not self._prefills:
            return 0.0
        oldest = next(iter(self._prefills))
        return now - oldest.sent_at - oldest.expected_total_s

    def _observe_delay(self, delay_s: float, now: float) -> None:
        decayed_s = self._delay_s * math.exp(
            -(now - self._delay_at) / DELAY_DECAY_S
        )
        self._delay_s = decayed_s + DELAY_WEIGHT * (delay_s - decayed_s)
        self._delay_at = now

    def _learn(
        self,
        prefill: PendingPrefill,
        took_s: float,
        stage: directory.Stage | None,
    ) -> None:
        if prefill.tokens <= prefilltimes.SHORT_TOKENS:
            self._times.observe_latency(
                prefill.mode, took_s - prefill.expected_s
            )
        tokens, cached_tokens = prefill.tokens, prefill.cached_tokens
        if took_s < prefill.expected_s + prefill.latency_s:
            # The engine may have more of the shared parts than is known here,
            # and would look many times as fast. It has none of what is the
            # prompt's own: that was read in this time, if not more.
            shared_tokens = sum(part.tokens for part in prefill.parts)
            cached_tokens = max(cached_tokens, shared_tokens)
            tokens += prefill.cached_tokens - cached_tokens
        if tokens <= 0:
            return
        prefill_s = max(took_s - prefill.latency_s - prefill.fetch_s, 0.0)
        if tokens < prefill.tokens and prefill_s >= self.prefill_s(
            tokens, cached_tokens, stage
        ):
            return
        self._times.observe_prefill(
            tokens,
            cached_tokens,
            prefill_s * _prefill_speed(stage),
            self._prefill_factor,
        )


def _prefill_speed(stage: directory.Stage | None) -> float:
    return 1.0 if stage is directory.Stage.PREFILL else DECODE_SPEED
