"""Load estimate of one daemon for one engine: queue, speed and cache.

A daemon sees its own requests only. It estimates the wait for new work from
three signs: the work it sent to the engine that has not been prefilled, the
excess of recent response times over the expected ones, and the time by which
the oldest unanswered request is overdue. The last one grows without any
message, so that an unresponsive engine is avoided before a request times out.

Requests of the lowest urgency let all others go first, for any time, so that
their waits tell nothing of the wait of more urgent ones.
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
from bulrushgrade import routing
from bulrushgrade import streamload

DECODE_SPEED = 0.5
"""Prefill speed of an engine that also decodes, relative to one that only
prefills: it prefills between the steps of its streams."""

DELAY_DECAY_S = 1.0
"""Time constant with which an observed delay decays. Queues of a few requests
empty in about a second."""

DELAY_WEIGHT = 0.5
"""Weight of a new observation of the delay. Two or three observations
distinguish a queue from a single long prompt ahead."""


@attrs.define(kw_only=True, eq=False)
class PendingPrefill:
    """A request of this daemon that an engine is to prefill or take over.

    Attributes:
        expected_s: Expected time for which it occupies the engine.
        sent_at: When it was sent.
        tokens: Expected number of tokens to prefill.
        cached_tokens: Expected number of tokens before them that are cached.
        wait_s: Expected wait before the prefill.
        latency_s: Time from the end of the prefill to the response.
        urgency: 0 is the most urgent.
        fetch_s: Part of expected_s in which cached parts are fetched.
        mode: How the engine obtains the KV cache of the prompt.
        parts: Shared parts that the engine will have cached afterwards.
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
        """Expected time from sending the request to the response."""
        return self.wait_s + self.expected_s + self.latency_s

    @property
    def yields(self) -> bool:
        """Whether it lets all more urgent requests go first."""
        return self.urgency == routing.LOWEST_URGENCY

    @property
    def queue_entry(self) -> prefillqueue.Entry:
        """Its entry in the engine's queue until it is prefilled."""
        return prefillqueue.Entry(
            seconds=self.expected_s,
            latency_s=self.latency_s,
            urgency=self.urgency,
            added_at=self.sent_at,
        )

    @property
    def is_uncontended(self) -> bool:
        """Whether it was expected to meet hardly any other work."""
        alone_s = self.expected_s + self.latency_s
        return self.wait_s <= prefilltimes.UNCONTENDED_WAIT_FRACTION * alone_s


class _Delay:
    """Excess of recent response times over the expected ones."""

    def __init__(self):
        self._seconds = 0.0
        self._observed_at = 0.0

    def at(self, now: float) -> float:
        """Returns the excess in seconds."""
        age_s = now - self._observed_at
        return self._seconds * math.exp(-age_s / DELAY_DECAY_S)

    def observe(self, delay_s: float, now: float) -> None:
        """Updates the excess with that of one response."""
        decayed_s = self.at(now)
        self._seconds = decayed_s + DELAY_WEIGHT * (delay_s - decayed_s)
        self._observed_at = now


class EngineLoad:
    """Load estimate for one incarnation of an engine."""

    def __init__(
        self,
        *,
        memory_tokens: int,
        times: prefilltimes.PrefillTimes | None = None,
        prefill_factor: linearfit.Factor | None = None,
        pause_factor: linearfit.Factor | None = None,
    ):
        """Initializes the estimate without any observation.

        Args:
            memory_tokens: Capacity of the engine's memory in tokens.
            times: Prefill times of all engines of its service.
            prefill_factor: Ratio of its prefill times to those of an average
                engine; None for one that this daemon learns alone.
            pause_factor: The same ratio of its pauses.
        """
        self._cache = enginecache.EngineCache(memory_tokens=memory_tokens)
        self._times = times or prefilltimes.PrefillTimes()
        self._prefill_factor = prefill_factor or prefilltimes.new_factor()
        self._queue = prefillqueue.PrefillQueue()
        self._streams = streamload.StreamLoad()
        self._pause_factor = pause_factor or pausemodel.new_factor()
        self._prefills: dict[PendingPrefill, None] = {}
        self._delay = _Delay()
        self._yielding_delay = _Delay()

    @property
    def cache(self) -> enginecache.EngineCache:
        """The expected content of its prefix cache."""
        return self._cache

    @property
    def streams(self) -> streamload.StreamLoad:
        """The streams that this daemon has running at the engine."""
        return self._streams

    @property
    def pause_factor(self) -> linearfit.Factor:
        """Ratio of the engine's pauses to those of an average engine."""
        return self._pause_factor

    @property
    def is_idle(self) -> bool:
        """Whether this daemon has no request at the engine."""
        return not self._prefills and not self._streams.running

    def share(self, now: float) -> peerloads.EngineShare:
        """Returns this daemon's load at the engine, to advertise to peers."""
        return peerloads.EngineShare(
            queued_s=self._queue.wait_by_urgency(now),
            streams=self._streams.running,
            tokens=self._streams.tokens,
        )

    @property
    def pending_prefills(self) -> int:
        """Number of this daemon's requests without a response yet."""
        return len(self._prefills)

    def prefill_s(
        self, tokens: int, cached_tokens: int, stage: directory.Stage | None
    ) -> float:
        """Returns the expected duration of a prefill.

        Args:
            tokens: Tokens to prefill.
            cached_tokens: Tokens before them that are cached.
            stage: The engine's role.
        """
        usual_s = self._times.prefill_s(tokens, cached_tokens)
        return self._prefill_factor.value * usual_s / _prefill_speed(stage)

    def wait_behind_s(
        self, now: float, queued_s: float, *, urgency: int
    ) -> float:
        """Returns the wait for new work behind a queue of known length.

        Args:
            now: The present time in seconds.
            queued_s: Seconds of prefill queued at the engine by all daemons.
            urgency: Urgency of the new work.
        """
        return max(queued_s, self._overdue_s(now, urgency))

    def wait_s(
        self, now: float, *, urgency: int, peers_s: float = 0.0
    ) -> float:
        """Returns the expected wait for new work.

        Args:
            now: The present time in seconds.
            urgency: Urgency of the new work.
            peers_s: Seconds of prefill of at least that urgency that other
                daemons have queued.
        """
        unexplained_s = self._delay.at(now)
        if urgency == routing.LOWEST_URGENCY:
            unexplained_s = max(unexplained_s, self._yielding_delay.at(now))
        queued_s = self._queue.wait_s(now, urgency=urgency) + peers_s
        return max(queued_s + unexplained_s, self._overdue_s(now, urgency))

    def begin(self, prefill: PendingPrefill) -> None:
        """Records a request that was sent to the engine."""
        self._prefills[prefill] = None
        self._queue.add(prefill, prefill.queue_entry)
        self._cache.expect(prefill.parts, prefill.sent_at)

    def answered(
        self, prefill: PendingPrefill, stage: directory.Stage | None, now: float
    ) -> None:
        """Records that the response to a request has begun."""
        if prefill not in self._prefills:
            return
        del self._prefills[prefill]
        self._queue.remove(prefill, now)
        self._cache.keep(prefill.parts)
        took_s = now - prefill.sent_at
        delay = self._yielding_delay if prefill.yields else self._delay
        delay.observe(max(0.0, took_s - prefill.expected_total_s), now)
        # Unknown work of other daemons makes a prefill longer, never shorter.
        # So a prefill that was faster than expected is a valid sample even if
        # it had to wait.
        alone_s = prefill.expected_s + prefill.latency_s
        if prefill.is_uncontended or took_s < alone_s:
            self._learn(prefill, took_s, stage)

    def dropped(self, prefill: PendingPrefill, now: float) -> None:
        """Records that a request ended without a response."""
        if self._prefills.pop(prefill, self) is not self:
            self._queue.remove(prefill, now)
            self._cache.cancel(prefill.parts)

    def _overdue_s(self, now: float, urgency: int) -> float:
        counts_yielding = urgency == routing.LOWEST_URGENCY
        for oldest in self._prefills:
            if counts_yielding or not oldest.yields:
                return now - oldest.sent_at - oldest.expected_total_s
        return 0.0

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
            # The engine may have more of the shared parts cached than is known
            # here, which would make it look many times as fast. It can't have
            # the prompt's own part cached, so at least that part was prefilled
            # in this time.
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
