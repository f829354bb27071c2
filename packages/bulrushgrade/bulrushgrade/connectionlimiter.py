"""Decides how many new connections a host takes from callers.

The load balancer may send most connections of a zone or region to one host. A
host that reads more requests than its processor can handle answers all of them
late: its timers and its connections to endpoints run into timeouts as well. A
connection that is closed before anything was read from it costs little, and its
caller tries another host at once, also with a request that may run only once.

Load: arrivals that rise within a moment to several times what the host can
handle, and stay there for seconds. The delay of the host's own event loop shows
what it can handle, as a request takes several turns of the loop, but it shows
late: what has been read until then is late anyway. So the rate of accepted
connections may only grow step by step, as long as the loop is on time, and it
falls while the loop is late.
"""

import math

TICK_S = 0.05
"""Interval at which the delay of the event loop is measured."""

SMOOTHING_S = 0.15
"""Time over which delays are averaged, so that a single long turn, such as one
that decodes a large configuration, limits little."""

MAX_SAMPLE_S = 0.25
"""Maximum delay that is counted of one turn. A longer one after a turn that was
on time is a pause of the process, which is no overload, and isn't counted."""

STALLED_S = 0.15
"""Delay of the last turn at which no connection is accepted. Requests that came
meanwhile have waited for long, and the next turn is as long as this one."""

HIGH_DELAY_S = 0.02
"""Average delay at which the rate falls. A request takes some ten turns of the
loop, so it is then late by some tenths of a second."""

LOW_DELAY_S = 0.012
"""Average delay below which the rate may rise."""

FALL_PER_S = 0.15
"""Factor by which the rate falls in a second of high delay."""

RISE_PER_S = 6.0
"""Factor by which the rate rises in a second of low delay, if connections were
rejected. A burst that the host can handle is read whole within a second."""

PROBE_PER_S = 1.2
"""The same above the rate that the host is known to handle."""

SAFE_SHARE = 0.8
"""Share of the rate of answers while the loop was late up to which the rate of
connections rises fast again. A loop that is late does all it can."""

MIN_SHARE = 0.5
"""Share of the rate of answers below which the rate of connections doesn't
fall: what was read before needs as much again."""

FORGET_S = 10.0
"""Time after which that rate is not known any more: hosts turn slow, and fast
again."""

HEADROOM = 2.0
"""How many times the rate of connections may be accepted at once."""

MIN_HEADROOM_PER_S = 50.0
"""Rate up to which connections are accepted at once, less than any host can
handle if it is not overloaded."""

MIN_PER_S = 20.0
"""Minimum rate: only what is accepted shows that the host can take more, and a
host with less to do is late because of others."""

BURST_S = 0.25
"""Connections that may be accepted at one moment, as the time in which as many
come at the allowed rate."""

MIN_BURST = 50.0
"""The same at least, while the loop is on time: callers return together to a
host that has started or was cut off, and it serves that many soon."""

MIN_LATE_BURST = 4.0
"""The same while the loop is late."""

RATE_WINDOW_S = 1.0
"""Time over which the rates of connections are averaged."""

LIMITING_S = 1.0
"""Time without a rejected connection after which the host is not overloaded any
more."""


class ConnectionLimiter:
    """Limits the rate of new connections to what the host can handle."""

    def __init__(self, *, max_connections: int, now: float):
        """Creates a limiter that has accepted nothing.

        Args:
            max_connections: Maximum number of open connections.
            now: The current time in seconds.
        """
        self._max_connections = max_connections
        self._delay_s = 0.0
        self._last_sample_s = 0.0
        self._rate_per_s = MIN_HEADROOM_PER_S
        self._tokens = MIN_BURST
        self._refilled_at = now
        self._ticked_at = now
        self._offered = 0
        self._accepted = 0
        self._answered = 0
        self._offered_per_s = 0.0
        self._accepted_per_s = 0.0
        self._answered_per_s = 0.0
        self._rejected = 0
        self._rejected_at = -math.inf
        # The rate of connections until the loop became late, the rate of
        # answers while it was late, and when it last was.
        self._is_late = False
        self._on_time_per_s = 0.0
        self._handled_per_s = 0.0
        self._late_at = -math.inf
        self._is_limiting = False

    @property
    def is_limiting(self) -> bool:
        """Whether connections are rejected, or were a moment ago."""
        return self._is_limiting

    @property
    def rate_per_s(self) -> float:
        """The rate at which connections may be accepted."""
        return self._rate_per_s

    @property
    def offered_per_s(self) -> float:
        """The rate of new connections."""
        return self._offered_per_s

    @property
    def delay_s(self) -> float:
        """The average delay of the event loop."""
        return self._delay_s

    @property
    def rejected(self) -> int:
        """Number of connections that were not accepted."""
        return self._rejected

    def accepts(self, connections: int, now: float) -> bool:
        """Returns whether to read from a new connection, and counts it.

        Args:
            connections: Number of open connections.
            now: The current time in seconds.
        """
        self._offered += 1
        self._refill(now)
        is_accepted = (
            self._tokens >= 1.0
            and connections < self._max_connections
            and not self._is_stalled(now)
        )
        if not is_accepted:
            self._rejected += 1
            self._rejected_at = now
            return False
        self._accepted += 1
        self._tokens -= 1.0
        return True

    def observe_answer(self) -> None:
        """Takes in that a request has been answered."""
        self._answered += 1

    def observe_tick(self, delay_s: float, now: float) -> bool:
        """Takes in by how much a tick of the event loop was late.

        Returns:
            Whether the host has become overloaded, or is not any more.
        """
        self._refill(now)
        elapsed_s = max(TICK_S, now - self._ticked_at)
        self._ticked_at = now
        was_on_time = self._last_sample_s <= LOW_DELAY_S
        self._last_sample_s = max(0.0, delay_s)
        if was_on_time and delay_s > MAX_SAMPLE_S:
            self._offered = self._accepted = self._answered = 0
            return self._observe_limiting(now)
        sample_s = min(self._last_sample_s, MAX_SAMPLE_S)
        weight = 1 - math.exp(-min(elapsed_s, MAX_SAMPLE_S) / SMOOTHING_S)
        self._delay_s += (sample_s - self._delay_s) * weight
        was_rejecting = now - self._rejected_at <= elapsed_s
        self._measure_rates(elapsed_s)
        self._adjust(min(elapsed_s, MAX_SAMPLE_S), was_rejecting, now)
        return self._observe_limiting(now)

    def _observe_limiting(self, now: float) -> bool:
        before = self._is_limiting
        self._is_limiting = now - self._rejected_at < LIMITING_S
        return self._is_limiting != before

    def _is_stalled(self, now: float) -> bool:
        overdue_s = now - self._ticked_at - TICK_S
        return max(self._last_sample_s, overdue_s) >= STALLED_S

    def _refill(self, now: float) -> None:
        burst = max(MIN_BURST, self._rate_per_s * BURST_S)
        more = max(0.0, now - self._refilled_at) * self._rate_per_s
        self._tokens = min(burst, self._tokens + more)
        self._refilled_at = now

    def _measure_rates(self, elapsed_s: float) -> None:
        weight = 1 - math.exp(-elapsed_s / RATE_WINDOW_S)
        offered_per_s = self._offered / elapsed_s
        accepted_per_s = self._accepted / elapsed_s
        answered_per_s = self._answered / elapsed_s
        self._offered = self._accepted = self._answered = 0
        self._offered_per_s += (offered_per_s - self._offered_per_s) * weight
        self._accepted_per_s += (accepted_per_s - self._accepted_per_s) * weight
        self._answered_per_s += (answered_per_s - self._answered_per_s) * weight

    def _adjust(
        self, elapsed_s: float, was_rejecting: bool, now: float
    ) -> None:
        is_late = self._last_sample_s > LOW_DELAY_S
        if self._delay_s > HIGH_DELAY_S and is_late:
            if not self._is_late:
                self._handled_per_s = 0.0
                self._on_time_per_s = self._accepted_per_s
            self._is_late, self._late_at = True, now
            self._handled_per_s = max(self._handled_per_s, self._answered_per_s)
            # What was allowed and not used is not what the host can handle.
            used_per_s = max(self._accepted_per_s, MIN_PER_S)
            rate_per_s = min(self._rate_per_s, HEADROOM * used_per_s)
            least_per_s = max(MIN_PER_S, MIN_SHARE * self._answered_per_s)
            self._rate_per_s = max(
                min(rate_per_s, least_per_s),
                rate_per_s * FALL_PER_S**elapsed_s,
            )
            self._tokens = min(
                self._tokens, max(MIN_LATE_BURST, self._rate_per_s * TICK_S)
            )
            return
        if self._delay_s > LOW_DELAY_S:
            return
        self._is_late = False
        wanted_per_s = max(MIN_HEADROOM_PER_S, HEADROOM * self._accepted_per_s)
        if was_rejecting:
            wanted_per_s = math.inf
        if now - self._late_at <= FORGET_S:
            probed_per_s = max(
                self._handled_per_s * SAFE_SHARE,
                self._on_time_per_s,
                MIN_HEADROOM_PER_S,
            )
            if self._rate_per_s >= probed_per_s:
                self._rate_per_s *= PROBE_PER_S**elapsed_s
                return
            wanted_per_s = min(wanted_per_s, probed_per_s)
        risen_per_s = self._rate_per_s * RISE_PER_S**elapsed_s
        self._rate_per_s = max(self._rate_per_s, min(wanted_per_s, risen_per_s))
